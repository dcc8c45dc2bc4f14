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
	m := &monitor{gateway: g, run: r, stream: s, server: r.currentServer(), watch: silence.NewWatch(r.request.route.GapTarget)}
	g.watchdog.add(m)
	return m, func() { g.watchdog.remove(m) }
}

// beginWait begins a beginWait for an event.
func (m *monitor) beginWait() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.waitCount++
	m.waiting = true
	m.waitingSince = time.Now()
	m.queryDue = m.waitingSince.Add(m.watch.QueryDelay())
}

// endWait ends a wait.
func (m *monitor) endWait() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.waiting = false
	m.watch.RecordEvent()
}

// untilQuery is the time until the stream is to be looked into.
func (m *monitor) untilQuery(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.waiting || m.inspecting {
		return m.watch.QueryDelay()
	}
	return m.queryDue.Sub(now)
}

// queryDelay is the time that an event may take.
func (m *monitor) queryDelay() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.watch.QueryDelay()
}

// startInspection looks into a wait that has become long.
func (m *monitor) startInspection(late time.Duration) {
	m.setInspecting(true)
	m.gateway.Group.Go(func(ctx context.Context) error {
		defer m.setInspecting(false)
		m.inspect(ctx, late)
		return nil
	})
}

func (m *monitor) setInspecting(inspecting bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.inspecting = inspecting
}

// inspect asks the server and acts on the verdict, unless the stream is heard
// meanwhile.
func (m *monitor) inspect(ctx context.Context, late time.Duration) {
	m.mutex.Lock()
	wait, bound := m.waitCount, m.watch.QueryTimeout()
	waiting := m.waiting
	m.mutex.Unlock()
	if !waiting {
		return
	}
	if silence.ProcessBehind(late, m.stream.Waiting()) {
		m.scheduleQuery(wait)
		return
	}
	a := m.gateway.inquire(ctx, m.server, bound)
	copied := a.Unresponsive() && m.backupAnswers(ctx)
	s, ok := m.streamState(wait)
	if !ok {
		return
	}
	s.HasBackup = copied
	v := silence.Decide(s, a)
	m.gateway.Metrics.Add(metric.SilentStreams, 1)
	m.gateway.Log.Emit(event.StreamSilent, zap.String("request", string(s.Request)), zap.String("server", string(m.server.Name)), zap.Int("events", s.Delivered), zap.Duration("silent", s.SilentFor), zap.Bool("reached", a.Answered), zap.Int("made", a.Produced[s.Request]), zap.String("verdict", v.String()))
	if v == silence.Abandon || v == silence.Fetch && m.gateway.fetch(ctx, m.run, m.server) {
		m.stream.Close()
		return
	}
	m.scheduleQuery(wait)
}

// backupAnswers reports whether a copy of the run is held by a server that
// answers at once.
func (m *monitor) backupAnswers(ctx context.Context) bool {
	h, ok := m.run.copyHolder()
	if !ok || m.gateway.inClosedDomain(h) {
		return false
	}
	m.mutex.Lock()
	bound := m.watch.BackupTimeout()
	m.mutex.Unlock()
	c, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	_, err := m.gateway.Backends.Report(c, h, true)
	return err == nil
}

// streamState describes the stream in a wait; it reports false once that is over.
func (m *monitor) streamState(wait int) (silence.Stream, bool) {
	_, n := m.run.progress()
	s := silence.Stream{Request: m.run.request.ID, Delivered: n}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s.SilentFor = time.Since(m.waitingSince)
	return s, m.waiting && m.waitCount == wait
}

// scheduleQuery lets the stream wait on.
func (m *monitor) scheduleQuery(wait int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.waiting && m.waitCount == wait {
		m.watch.RecordQuery()
		m.queryDue = time.Now().Add(m.watch.QueryDelay())
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
