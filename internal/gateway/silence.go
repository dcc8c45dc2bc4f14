package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/silence"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

// listener notices when one server's stream of a run is silent, and ends it
// where the run is to go on elsewhere.
type listener struct {
	gateway *Gateway
	run     *run
	stream  port.Stream
	server  roster.Server
	timer   *time.Timer

	mutex sync.Mutex
	watch *silence.Watch
	// waits counts the waits for an event, so that a late finding on one does not
	// end the next; since is when the present one began, due when it is to be
	// looked into.
	waits   int
	waiting bool
	since   time.Time
	due     time.Time
}

// listen begins to watch a run's stream; the clean-up ends it.
func (g *Gateway) listen(r *run, s port.Stream) (*listener, func()) {
	l := &listener{gateway: g, run: r, stream: s, server: r.at(), watch: silence.NewWatch(r.request.route.GapAim)}
	return l, l.heard
}

// wait begins a wait for an event.
func (l *listener) wait() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.waits++
	l.waiting = true
	l.since = time.Now()
	l.arm(l.since)
}

// arm sets the timer; the mutex is held.
func (l *listener) arm(now time.Time) {
	d := l.watch.Wait()
	l.due = now.Add(d)
	if l.timer == nil {
		l.timer = time.AfterFunc(d, l.silent)
		return
	}
	l.timer.Reset(d)
}

// heard ends a wait.
func (l *listener) heard() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.waiting = false
	l.watch.Heard()
	l.timer.Stop()
}

// silent begins to look into a wait that has become long.
func (l *listener) silent() {
	l.gateway.Group.Go(func(ctx context.Context) error {
		l.look(ctx)
		return nil
	})
}

// look asks the server and acts on the verdict, unless the stream is heard
// meanwhile.
func (l *listener) look(ctx context.Context) {
	l.mutex.Lock()
	wait, bound, late := l.waits, l.watch.Bound(), time.Since(l.due)
	waiting := l.waiting
	l.mutex.Unlock()
	if !waiting {
		return
	}
	a := l.gateway.inquire(ctx, l.server, bound)
	copied := a.Dark() && l.holderAnswers(ctx)
	s, ok := l.state(wait, late)
	if !ok {
		return
	}
	s.Copy = copied
	v := silence.Judge(s, a)
	l.gateway.Metrics.Add(metric.SilentStreams, 1)
	l.gateway.Log.Emit(event.StreamSilent, zap.String("request", string(s.Request)), zap.String("server", string(l.server.Name)), zap.Int("events", s.Events), zap.Duration("silent", s.Silent), zap.Bool("reached", a.Reached), zap.Int("made", a.Made[s.Request]), zap.String("verdict", v.String()))
	if v == silence.Abandon || v == silence.Fetch && l.gateway.fetch(ctx, l.run, l.server) {
		l.stream.Close()
		return
	}
	l.again(wait)
}

// holderAnswers reports whether a copy of the run is held by a server that
// answers at once.
func (l *listener) holderAnswers(ctx context.Context) bool {
	h, ok := l.run.holder()
	if !ok {
		return false
	}
	l.mutex.Lock()
	bound := l.watch.HolderBound()
	l.mutex.Unlock()
	c, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	_, err := l.gateway.Backends.Report(c, h, true)
	return err == nil
}

// state describes the stream in a wait; it reports false once that is over.
func (l *listener) state(wait int, late time.Duration) (silence.Stream, bool) {
	_, n := l.run.progress()
	s := silence.Stream{Request: l.run.request.ID, Events: n, Late: late}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s.Silent = time.Since(l.since)
	return s, l.waiting && l.waits == wait
}

// again lets the stream wait on.
func (l *listener) again(wait int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.waiting && l.waits == wait {
		l.watch.Asked()
		l.arm(time.Now())
	}
}

// holder is the server that the run could go on at without its own.
func (r *run) holder() (roster.Server, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case r.copied != nil:
		return r.copied.at, true
	case r.backup != nil:
		return r.backup.at, true
	default:
		return roster.Server{}, false
	}
}

// inquire asks a server about its runs, once for all streams that are silent at
// the same time.
func (g *Gateway) inquire(ctx context.Context, s roster.Server, bound time.Duration) silence.Answer {
	x, _, _ := g.inquiries.Do(string(s.Name), func() (any, error) {
		g.mutex.Lock()
		a, ok := g.answers.Recent(time.Now(), s.Name)
		g.mutex.Unlock()
		if ok {
			return a, nil
		}
		return g.question(ctx, s, bound), nil
	})
	return x.(silence.Answer)
}

// question is inquire without an answer in hand.
func (g *Gateway) question(ctx context.Context, s roster.Server, bound time.Duration) silence.Answer {
	began := time.Now()
	p, err := g.report(ctx, s, bound)
	if err != nil {
		g.Log.Emit(event.ServerUnreachable, zap.String("server", string(s.Name)), zap.Error(err))
	}
	now := time.Now()
	a := silence.Answer{At: now, Reached: err == nil, Late: now.Sub(began) - bound, Made: p.Made}
	g.mutex.Lock()
	g.answers.Note(s.Name, a)
	g.mutex.Unlock()
	if a.Dark() {
		g.note(s.Name, placement.Lost)
	}
	if p.Leaving {
		g.NoteLeaving([]api.ServerName{s.Name})
	}
	return a
}

// report asks a server for its report over two new connections, the second a
// little later: one lost packet must not make a server pass for silent.
func (g *Gateway) report(ctx context.Context, s roster.Server, bound time.Duration) (port.Report, error) {
	c, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	type reply struct {
		report port.Report
		err    error
	}
	replies := make(chan reply, 2)
	ask := func(after time.Duration) {
		g.Group.Go(func(context.Context) error {
			if !duty.Sleep(c, after) {
				replies <- reply{err: c.Err()}
				return nil
			}
			p, err := g.Backends.Report(c, s, true)
			replies <- reply{p, err}
			return nil
		})
	}
	ask(0)
	ask(silence.Hedge(bound))
	r := <-replies
	if r.err != nil {
		r = <-replies
	}
	return r.report, r.err
}
