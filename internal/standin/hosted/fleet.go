package hosted

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
)

// Pace is how fast a backend server works.
type Pace struct {
	// Work is what a plain answer takes.
	Work time.Duration
	// Event is the pause before each event of a stream.
	Event time.Duration
	// Copy is what one copy of a run's memory takes.
	Copy time.Duration
}

// Fleet is the backend servers that reach each other, with their store and
// their journal.
type Fleet struct {
	Store   *Store
	Journal *Journal
	Pace    Pace

	mutex   sync.Mutex
	servers map[string]*Server
	// deadly bodies crash the servers that run them, of which crashed is told.
	deadly  map[string]bool
	crashed func(s *Server, body string)
}

// NewFleet makes a fleet without servers.
func NewFleet(s *Store, p Pace) *Fleet {
	return &Fleet{Store: s, Journal: NewJournal(), Pace: p, servers: map[string]*Server{}, deadly: map[string]bool{}}
}

// at finds the server that others reach at an address.
func (f *Fleet) at(address string) (*Server, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s, ok := f.servers[address]
	return s, ok
}

// Kill lets requests of a body crash the servers that run them; told is told of each.
func (f *Fleet) Kill(body string, told func(s *Server, body string)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.deadly[body] = true
	f.crashed = told
}

// kills reports whether a body crashes what runs it, and who is to be told.
func (f *Fleet) kills(body string) (func(s *Server, body string), bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.crashed, f.deadly[body]
}

// headTime bounds the time that the head of a request may take.
const headTime = 5 * time.Second

// Start runs a server on a listener until it is ended, without an entry in the
// store; others reach it at its address. Engines answer by streams.
func (f *Fleet) Start(s roster.Server, engine bool, l net.Listener) (*Server, func()) {
	g, closer := duty.New(context.Background())
	ctx, cancel := context.WithCancel(context.Background())
	x := &Server{
		Server: s, fleet: f, engine: engine, group: g, end: cancel, ended: ctx,
		runs: map[api.RequestID]*generation{}, copies: map[string]*memory{},
	}
	x.http = &http.Server{Handler: f.Store.wire.Backend(x), ReadHeaderTimeout: headTime}
	g.Go(func(context.Context) error {
		// It ends when the server is closed.
		_ = x.http.Serve(l)
		return nil
	})
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.servers[s.Address] = x
	return x, func() {
		x.Crash()
		closer()
	}
}
