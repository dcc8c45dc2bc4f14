package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/silence"
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

	mutex sync.Mutex
	watch *silence.Watch
	// waits counts the waits for an event, so that a late finding on one does not
	// end the next; since is when the present one began, due when it is to be
	// looked into.
	waits   int
	waiting bool
	since   time.Time
	due     time.Time
	// inspecting is set while it is looked into.
	inspecting bool
}

// listen begins to watch a run's stream; the clean-up ends it.
func (g *Gateway) listen(r *run, s port.Stream) (*listener, func()) {
	l := &listener{gateway: g, run: r, stream: s, server: r.at(), watch: silence.NewWatch(r.request.route.GapTarget)}
	g.watchdog.add(l)
	return l, func() { g.watchdog.remove(l) }
}

// wait begins a wait for an event.
func (l *listener) wait() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.waits++
	l.waiting = true
	l.since = time.Now()
	l.due = l.since.Add(l.watch.QueryDelay())
}

// heard ends a wait.
func (l *listener) heard() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.waiting = false
	l.watch.RecordEvent()
}

// left is the time until the stream is to be looked into.
func (l *listener) left(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.waiting || l.inspecting {
		return l.watch.QueryDelay()
	}
	return l.due.Sub(now)
}

// pause is the time that an event may take.
func (l *listener) pause() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.watch.QueryDelay()
}

// begin looks into a wait that has become long.
func (l *listener) begin(late time.Duration) {
	l.mark(true)
	l.gateway.Group.Go(func(ctx context.Context) error {
		defer l.mark(false)
		l.inspect(ctx, late)
		return nil
	})
}

func (l *listener) mark(inspecting bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.inspecting = inspecting
}

// inspect asks the server and acts on the verdict, unless the stream is heard
// meanwhile.
func (l *listener) inspect(ctx context.Context, late time.Duration) {
	l.mutex.Lock()
	wait, bound := l.waits, l.watch.QueryTimeout()
	waiting := l.waiting
	l.mutex.Unlock()
	if !waiting {
		return
	}
	if silence.ProcessBehind(late, l.stream.Waiting()) {
		l.again(wait)
		return
	}
	a := l.gateway.queryRuns(ctx, l.server, bound)
	copied := a.Unresponsive() && l.holderAnswers(ctx)
	s, ok := l.state(wait)
	if !ok {
		return
	}
	s.HasBackup = copied
	v := silence.Decide(s, a)
	l.gateway.Metrics.Add(metric.SilentStreams, 1)
	l.gateway.Log.Emit(event.StreamSilent, zap.String("request", string(s.Request)), zap.String("server", string(l.server.Name)), zap.Int("events", s.Delivered), zap.Duration("silent", s.SilentFor), zap.Bool("reached", a.Answered), zap.Int("made", a.Produced[s.Request]), zap.String("verdict", v.String()))
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
	if !ok || l.gateway.closed(h) {
		return false
	}
	l.mutex.Lock()
	bound := l.watch.BackupTimeout()
	l.mutex.Unlock()
	c, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	_, err := l.gateway.Backends.Report(c, h, true)
	return err == nil
}

// state describes the stream in a wait; it reports false once that is over.
func (l *listener) state(wait int) (silence.Stream, bool) {
	_, n := l.run.progress()
	s := silence.Stream{Request: l.run.request.ID, Delivered: n}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s.SilentFor = time.Since(l.since)
	return s, l.waiting && l.waits == wait
}

// again lets the stream wait on.
func (l *listener) again(wait int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.waiting && l.waits == wait {
		l.watch.RecordQuery()
		l.due = time.Now().Add(l.watch.QueryDelay())
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
