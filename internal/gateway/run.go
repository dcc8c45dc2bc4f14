package gateway

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/sequence"
	"github.com/wardridge/wardridge/internal/port"
)

// held is a copy of a run's memory that a server holds.
type held struct {
	at          roster.Server
	reservation *reservation
	resume      port.Resume
	// kept is set for a copy that grew with the run, rather than on order.
	kept bool
}

// backup is the server that keeps a copy of a run as it grows.
type backup struct {
	at          roster.Server
	reservation *reservation
}

// end takes the copy's load away.
func (b *backup) end() {
	if b != nil {
		b.reservation.release()
	}
}

// run is one running generation on its way to its caller.
type run struct {
	request *request

	mutex       sync.Mutex
	server      roster.Server
	reservation *reservation
	// events judges what goes to the caller.
	events sequence.Sequence
	// mover takes the run off its server, nil for none; moved is closed at its
	// end.
	mover *mover
	moved <-chan struct{}
	// stopped is set once the source was told to stop the run, halted when.
	stopped bool
	halted  time.Time
	// copied is the newest copy of the run's memory, nil for none.
	copied *held
	// backup keeps a copy of the run at its present server, nil for none.
	backup *backup
	over   bool
	pace   pace
}

// at is the server that runs it.
func (r *run) at() roster.Server {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.server
}

// haltedWithin reports whether the run was told to stop no longer ago than a time.
func (r *run) haltedWithin(d time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.stopped && time.Since(r.halted) < d
}

// young reports whether the run is in its beginning at its present server.
func (r *run) young(now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.pace.here.IsZero() || now.Sub(r.pace.here) < quarantine.SuspectWindow
}

// unprotect gives up a copy that the run may not go on from.
func (r *run) unprotect(unusable func(s roster.Server) bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.backup != nil && unusable(r.backup.at) {
		r.backup.end()
		r.backup = nil
	}
}

// pace is what a caller saw of a stream's times.
type pace struct {
	// first is the time to the first event, last when the last one came.
	first time.Duration
	last  time.Time
	// here is when the first event came from the present server, zero before it.
	here time.Time
	// pause is the longest time between two events, and after the event before
	// it.
	pause time.Duration
	after int
	moves int
	// joining is set until the first event after the run went on elsewhere, and
	// elsewhere where the longest pause was before such an event.
	joining, elsewhere bool
}

// note takes the time of an event.
func (p *pace) note(now, arrived time.Time, count int) {
	if p.last.IsZero() {
		p.first = now.Sub(arrived)
	} else if d := now.Sub(p.last); d > p.pause {
		p.pause = d
		p.after = count - 1
		p.elsewhere = p.joining
	}
	p.joining = false
	p.last = now
	if p.here.IsZero() {
		p.here = now
	}
}

// take judges an event.
func (r *run) take(id string) sequence.Verdict {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	v := r.events.Accept(id)
	if v == sequence.Deliver {
		r.pace.note(time.Now(), r.request.Arrived, r.events.Count())
	}
	return v
}

// lateness says what a stream missed of what its route aims for.
func (r *run) lateness() lateness {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	x := r.request.route
	switch {
	case x.LatencyTarget > 0 && r.pace.first > x.LatencyTarget:
		return lateFirstEvent
	case x.GapTarget <= 0 || r.pace.pause <= x.GapTarget:
		return onTime
	case r.pace.elsewhere:
		return longMovePause
	default:
		return longPause
	}
}

// figures gives the fields of the log line at a stream's end.
func (r *run) figures() []zap.Field {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return []zap.Field{
		zap.String("server", string(r.server.Name)), zap.Int("events", r.events.Count()), zap.Duration("first", r.pace.first),
		zap.Duration("pause", r.pace.pause), zap.Int("pause_after", r.pace.after), zap.Int("moves", r.pace.moves),
	}
}

// progress gives the last event's id and the count.
func (r *run) progress() (string, int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.events.LastID(), r.events.Count()
}

// attach counts a run at its server and moves it on if that leaves.
func (g *Gateway) attach(r *run, s roster.Server, l *reservation, b *backup) {
	r.mutex.Lock()
	r.backup = b
	r.server = s
	r.reservation = l
	if r.events.Count() > 0 {
		r.events.Resume()
		r.pace.moves++
		r.pace.joining = true
	}
	r.stopped = false
	r.copied = nil
	r.pace.here = time.Time{}
	r.mutex.Unlock()
	g.mutex.Lock()
	m := g.runs[s.Name]
	if m == nil {
		m = map[*run]bool{}
		g.runs[s.Name] = m
	}
	m[r] = true
	g.mutex.Unlock()
	r.unprotect(g.unavailable)
	if g.departing(s.Name) {
		g.evacuate(r)
	}
}

// detach ends the count of a run at its server.
func (g *Gateway) detach(r *run) {
	r.mutex.Lock()
	n := r.server.Name
	l, b := r.reservation, r.backup
	r.reservation, r.backup = nil, nil
	r.mutex.Unlock()
	l.release()
	b.end()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.forget(n, r)
}

// forget is detach's part under the gateway's mutex.
func (g *Gateway) forget(n api.ServerName, r *run) {
	delete(g.runs[n], r)
	if len(g.runs[n]) == 0 {
		delete(g.runs, n)
	}
}
