package gateway

import (
	"sync"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/sequence"
	"github.com/wardridge/wardridge/internal/port"
)

// held is a copy of a run's memory that a server holds.
type held struct {
	at     roster.Server
	lease  *lease
	resume port.Resume
}

// run is one running generation on its way to its caller.
type run struct {
	request *request

	mutex  sync.Mutex
	server roster.Server
	lease  *lease
	// events judges what goes to the caller.
	events sequence.Sequence
	// moving is set while a move is under way; moved is closed at its end.
	moving bool
	moved  chan struct{}
	// stopped is set once the source was told to stop the run.
	stopped bool
	// copied is the newest copy of the run's memory, nil for none.
	copied *held
	over   bool
}

// take judges an event.
func (r *run) take(id string) sequence.Verdict {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.events.Take(id)
}

// progress gives the last event's id and the count.
func (r *run) progress() (string, int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.events.Last(), r.events.Count()
}

// attach counts a run at its server and moves it on if that leaves.
func (g *Gateway) attach(r *run, s roster.Server, l *lease) {
	r.mutex.Lock()
	r.server = s
	r.lease = l
	r.events.Join()
	r.stopped = false
	r.copied = nil
	r.mutex.Unlock()
	g.mutex.Lock()
	m := g.runs[s.Name]
	if m == nil {
		m = map[*run]bool{}
		g.runs[s.Name] = m
	}
	m[r] = true
	g.mutex.Unlock()
	if g.leaving(s.Name) {
		g.move(r)
	}
}

// detach ends the count of a run at its server.
func (g *Gateway) detach(r *run) {
	r.mutex.Lock()
	n := r.server.Name
	l := r.lease
	r.lease = nil
	r.mutex.Unlock()
	l.end()
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
