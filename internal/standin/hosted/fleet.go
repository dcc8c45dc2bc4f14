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
	// PlainAnswer is what a plain answer takes.
	PlainAnswer time.Duration
	// EventInterval is the pause before each event of a stream.
	EventInterval time.Duration
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
	// crashBodies bodies crash the servers that run them, of which crashed is told.
	crashBodies map[string]bool
	onCrash     func(s *Server, body string)
}

// NewFleet makes a fleet without servers.
func NewFleet(s *Store, p Pace) *Fleet {
	return &Fleet{Store: s, Journal: NewJournal(), Pace: p, servers: map[string]*Server{}, crashBodies: map[string]bool{}}
}

// serverAt finds the server that others reach serverAt an address.
func (f *Fleet) serverAt(address string) (*Server, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s, ok := f.servers[address]
	return s, ok
}

// CrashOnBody lets requests of a body crash the servers that run them; told is told of each.
func (f *Fleet) CrashOnBody(body string, told func(s *Server, body string)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.crashBodies[body] = true
	f.onCrash = told
}

// crashHandler reports whether a body crashes what runs it, and who is to be told.
func (f *Fleet) crashHandler(body string) (func(s *Server, body string), bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.onCrash, f.crashBodies[body]
}

// readHeaderTimeout bounds the time that the head of a request may take.
const readHeaderTimeout = 5 * time.Second

// StartServer runs a server on a listener until it is ended, without an entry in the
// store; others reach it at its address. Engines answer by streams.
func (f *Fleet) StartServer(s roster.Server, engine bool, l net.Listener) (*Server, func()) {
	g, closer := duty.New(context.Background())
	ctx, cancel := context.WithCancel(context.Background())
	x := &Server{
		Server: s, fleet: f, engine: engine, group: g, cancel: cancel, stopped: ctx,
		runs: map[api.RequestID]*streamRun{}, copies: map[string]*runState{},
	}
	x.http = &http.Server{Handler: f.Store.wire.ServerHandler(x), ReadHeaderTimeout: readHeaderTimeout}
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
