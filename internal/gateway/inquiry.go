package gateway

import (
	"context"
	"time"

	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/silence"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/port"
)

// inquire asks a server about its runs, once for all streams that are silent at
// the same time.
func (g *Gateway) inquire(ctx context.Context, s roster.Server, bound time.Duration) silence.QueryResult {
	x, _, _ := g.queries.Do(string(s.Name), func() (any, error) {
		g.mutex.Lock()
		a, ok := g.queryResults.Get(time.Now(), s.Name)
		g.mutex.Unlock()
		if ok {
			return a, nil
		}
		return g.question(ctx, s, bound), nil
	})
	return x.(silence.QueryResult)
}

// question is inquire without an answer in hand.
func (g *Gateway) question(ctx context.Context, s roster.Server, bound time.Duration) silence.QueryResult {
	began := time.Now()
	p, err := g.report(ctx, s, bound)
	now := time.Now()
	a := silence.QueryResult{At: now, Answered: err == nil, Overrun: now.Sub(began) - bound, Produced: p.Made}
	g.mutex.Lock()
	g.queryResults.Put(s.Name, a)
	g.mutex.Unlock()
	if port.Refused(err) {
		g.Contents.Ended(s.Name)
	}
	if a.Unresponsive() {
		g.note(s, placement.Lost)
	}
	g.told(s, p, err)
	return a
}

// report asks a server for its report over two new connections, the second a
// little later: one lost packet must not make a server pass for silent.
func (g *Gateway) report(ctx context.Context, s roster.Server, bound time.Duration) (port.Report, error) {
	c, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	replies := make(chan reply, 2)
	for _, after := range []time.Duration{0, silence.HedgeDelay(bound)} {
		g.Group.Go(func(context.Context) error {
			replies <- g.reportAfter(c, s, after)
			return nil
		})
	}
	r := <-replies
	if r.err != nil {
		r = <-replies
	}
	return r.report, r.err
}

// reply is what became of one question.
type reply struct {
	report port.Report
	err    error
}

// reportAfter asks a server over a new connection after a time.
func (g *Gateway) reportAfter(ctx context.Context, s roster.Server, after time.Duration) reply {
	if after > 0 && !duty.Sleep(ctx, after) {
		return reply{err: ctx.Err()}
	}
	p, err := g.Backends.Report(ctx, s, true)
	return reply{p, err}
}
