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

// monitor notices when one server's stream of a run is silent, and ends it
// where the run is to go on elsewhere.
type monitor struct {
	gateway *Gateway
	run     *run
	stream  port.Stream
	server  roster.Server

	mutex sync.Mutex
	watch *silence.Watch
	// waitCount counts the waitCount for an event, so that a late finding on one does not
	// end the next; since is when the present one began, due when it is to be
	// looked into.
	waitCount    int
	waiting      bool
	waitingSince time.Time
	queryDue     time.Time
	// inspecting is set while it is looked into.
	inspecting bool
}

// startMonitor begins to watch a run's stream; the clean-up ends it.
func (g *Gateway) startMonitor(r *run, s port.Stream) (*monitor, func()) {
	l := &monitor{gateway: g, run: r, stream: s, server: r.currentServer(), watch: silence.NewWatch(r.request.route.GapTarget)}
	g.watchdog.add(l)
	return l, func() { g.watchdog.remove(l) }
}

// beginWait begins a beginWait for an event.
func (l *monitor) beginWait() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.waitCount++
	l.waiting = true
	l.waitingSince = time.Now()
	l.queryDue = l.waitingSince.Add(l.watch.QueryDelay())
}

// endWait ends a wait.
func (l *monitor) endWait() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.waiting = false
	l.watch.RecordEvent()
}

// untilQuery is the time until the stream is to be looked into.
func (l *monitor) untilQuery(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.waiting || l.inspecting {
		return l.watch.QueryDelay()
	}
	return l.queryDue.Sub(now)
}

// queryDelay is the time that an event may take.
func (l *monitor) queryDelay() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.watch.QueryDelay()
}

// startInspection looks into a wait that has become long.
func (l *monitor) startInspection(late time.Duration) {
	l.setInspecting(true)
	l.gateway.Group.Go(func(ctx context.Context) error {
		defer l.setInspecting(false)
		l.inspect(ctx, late)
		return nil
	})
}

func (l *monitor) setInspecting(inspecting bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.inspecting = inspecting
}

// inspect asks the server and acts on the verdict, unless the stream is heard
// meanwhile.
func (l *monitor) inspect(ctx context.Context, late time.Duration) {
	l.mutex.Lock()
	wait, bound := l.waitCount, l.watch.QueryTimeout()
	waiting := l.waiting
	l.mutex.Unlock()
	if !waiting {
		return
	}
	if silence.ProcessBehind(late, l.stream.Waiting()) {
		l.scheduleQuery(wait)
		return
	}
	a := l.gateway.inquire(ctx, l.server, bound)
	copied := a.Unresponsive() && l.backupAnswers(ctx)
	s, ok := l.streamState(wait)
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
	l.scheduleQuery(wait)
}

// backupAnswers reports whether a copy of the run is held by a server that
// answers at once.
func (l *monitor) backupAnswers(ctx context.Context) bool {
	h, ok := l.run.copyHolder()
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

// streamState describes the stream in a wait; it reports false once that is over.
func (l *monitor) streamState(wait int) (silence.Stream, bool) {
	_, n := l.run.progress()
	s := silence.Stream{Request: l.run.request.ID, Delivered: n}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s.SilentFor = time.Since(l.waitingSince)
	return s, l.waiting && l.waitCount == wait
}

// scheduleQuery lets the stream wait on.
func (l *monitor) scheduleQuery(wait int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.waiting && l.waitCount == wait {
		l.watch.RecordQuery()
		l.queryDue = time.Now().Add(l.watch.QueryDelay())
	}
}

// copyHolder is the server that the run could go on at without its own.
func (r *run) copyHolder() (roster.Server, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case r.moveCopy != nil:
		return r.moveCopy.server, true
	case r.backup != nil:
		return r.backup.server, true
	default:
		return roster.Server{}, false
	}
}
