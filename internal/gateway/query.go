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

// queryRuns asks a server about its runs. Streams of one server that are silent at the same
// time share one query.
func (g *Gateway) queryRuns(ctx context.Context, s roster.Server, bound time.Duration) silence.QueryResult {
	x, _, _ := g.queries.Do(string(s.Name), func() (any, error) {
		g.mutex.Lock()
		a, ok := g.queryResults.Get(time.Now(), s.Name)
		g.mutex.Unlock()
		if ok {
			return a, nil
		}
		return g.queryUncached(ctx, s, bound), nil
	})
	return x.(silence.QueryResult)
}

// queryUncached is queryRuns without a cached answer.
func (g *Gateway) queryUncached(ctx context.Context, s roster.Server, bound time.Duration) silence.QueryResult {
	began := time.Now()
	p, err := g.hedgedReport(ctx, s, bound)
	now := time.Now()
	a := silence.QueryResult{At: now, Answered: err == nil, Overrun: now.Sub(began) - bound, Produced: p.EventCounts}
	g.mutex.Lock()
	g.queryResults.Put(s.Name, a)
	g.mutex.Unlock()
	if port.ConnectionRefused(err) {
		g.Contents.RecordCrash(s.Name)
	}
	if a.Unresponsive() && !g.behindPartition(s, err) {
		g.recordOutcome(s, placement.Lost)
	}
	g.handleReport(s, p, err)
	return a
}

// hedgedReport asks a server for its report over two new connections, the second a little
// later, so that one lost packet does not make a server look silent.
func (g *Gateway) hedgedReport(ctx context.Context, s roster.Server, bound time.Duration) (port.Report, error) {
	c, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	replies := make(chan reportResult, 2)
	for _, after := range []time.Duration{0, silence.HedgeDelay(bound)} {
		g.Group.Go(func(context.Context) error {
			replies <- g.delayedReport(c, s, after)
			return nil
		})
	}
	r := <-replies
	if r.err != nil {
		r = <-replies
	}
	return r.report, r.err
}

// reportResult is the result of one request for a report.
type reportResult struct {
	report port.Report
	err    error
}

// delayedReport waits for a time, then asks a server for its report over a new connection.
func (g *Gateway) delayedReport(ctx context.Context, s roster.Server, after time.Duration) reportResult {
	if after > 0 && !duty.Sleep(ctx, after) {
		return reportResult{err: ctx.Err()}
	}
	p, err := g.Backends.Report(ctx, s, true)
	return reportResult{p, err}
}
