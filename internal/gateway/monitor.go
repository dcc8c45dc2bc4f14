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

// monitor detects that the stream of a run at one server is silent, and closes the stream if
// the run is to resume on another server.
type monitor struct {
	gateway *Gateway
	run     *run
	stream  port.Stream
	server  roster.Server

	mutex sync.Mutex
	watch *silence.Watch
	// waitCount counts the waits for an event, so that the late result of an inspection in one
	// wait does not end the next. waitingSince is when the current wait began, queryDue when
	// the server is to be queried.
	waitCount    int
	waiting      bool
	waitingSince time.Time
	queryDue     time.Time
	// inspecting is set while an inspection is in progress.
	inspecting bool
}

// startMonitor registers a monitor of a run's stream with the watchdog. The function that it
// returns removes the monitor.
func (g *Gateway) startMonitor(r *run, s port.Stream) (*monitor, func()) {
	m := &monitor{gateway: g, run: r, stream: s, server: r.currentServer(), watch: silence.NewWatch(r.request.route.GapTarget, g.ServerPause)}
	g.watchdog.add(m)
	return m, func() { g.watchdog.remove(m) }
}

// beginWait records that the stream waits for an event.
func (m *monitor) beginWait() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.waitCount++
	m.waiting = true
	m.waitingSince = time.Now()
	m.queryDue = m.waitingSince.Add(m.watch.QueryDelay(0))
}

// endWait records that the wait has ended with an event or an error.
func (m *monitor) endWait() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.waiting = false
	m.watch.RecordEvent()
}

// untilQuery returns the time until the server is to be queried, negative if that is overdue.
func (m *monitor) untilQuery(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if !m.waiting || m.inspecting {
		return m.watch.QueryDelay(0)
	}
	return m.queryDue.Sub(now)
}

// queryDelay returns the time without an event after which the server is queried.
func (m *monitor) queryDelay() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.watch.QueryDelay(0)
}

// startInspection inspects the silent stream in the background, late by the given time.
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

// inspect queries the server and acts on the verdict, unless an event arrives in the meantime.
func (m *monitor) inspect(ctx context.Context, late time.Duration) {
	m.mutex.Lock()
	wait, bound := m.waitCount, m.watch.QueryTimeout()
	waiting := m.waiting
	m.mutex.Unlock()
	if !waiting {
		return
	}
	if silence.ProcessBehind(late, m.stream.HasUnread()) || m.gateway.Link.Overloaded() {
		m.scheduleQuery(wait)
		return
	}
	a := m.gateway.queryRuns(ctx, m.server, bound)
	hasBackup := a.Unresponsive() && m.backupAnswers(ctx)
	s, ok := m.streamState(wait)
	if !ok {
		return
	}
	s.HasBackup = hasBackup
	v := silence.Decide(s, a)
	m.gateway.Metrics.Add(metric.SilentStreams, 1)
	m.gateway.Log.Emit(event.StreamSilent, zap.String("request", string(s.Request)), zap.String("server", string(m.server.Name)), zap.Int("events", s.Delivered), zap.Duration("silent", s.SilentFor), zap.Bool("reached", a.Answered), zap.Int("made", a.Produced[s.Request]), zap.String("verdict", v.String()))
	if v == silence.Abandon {
		m.run.markUnresponsive()
	}
	if v == silence.Abandon || v == silence.Fetch && m.gateway.fetch(ctx, m.run, m.server) {
		m.stream.Close()
		return
	}
	m.scheduleQuery(wait)
}

// backupAnswers reports whether another server holds a copy of the run and answers at once.
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

// streamState returns the state of the stream, and reports false if the given wait is over.
func (m *monitor) streamState(wait int) (silence.Stream, bool) {
	_, n := m.run.progress()
	s := silence.Stream{Request: m.run.request.ID, Delivered: n}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s.Pause = m.watch.Pause()
	s.SilentFor = time.Since(m.waitingSince)
	return s, m.waiting && m.waitCount == wait
}

// scheduleQuery lets the stream continue to wait, and schedules the next query in this wait.
func (m *monitor) scheduleQuery(wait int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.waiting && m.waitCount == wait {
		m.watch.RecordQuery()
		m.queryDue = time.Now().Add(m.watch.QueryDelay(time.Since(m.waitingSince)))
	}
}

// copyHolder returns the server that holds a copy from which the run could resume, if any.
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
