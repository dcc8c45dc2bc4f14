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

// Pace sets how long the work of a backend server takes.
type Pace struct {
	// PlainAnswer is the time to produce a plain answer.
	PlainAnswer time.Duration
	// EventInterval is the pause before each event of a stream.
	EventInterval time.Duration
	// Copy is the time to copy the state of a run.
	Copy time.Duration
}

// Fleet is a set of backend servers that can copy runs to each other, with their store and
// the journal of their requests and runs.
type Fleet struct {
	Store   *Store
	Journal *Journal
	Pace    Pace

	mutex   sync.Mutex
	servers map[string]*Server
	// crashCauses are the request bodies, and the parts of prompts, that crash the servers that
	// run them; onCrash is called for each crash.
	crashCauses map[string]bool
	onCrash     CrashFunc
}

// NewFleet returns a fleet without servers.
func NewFleet(s *Store, p Pace) *Fleet {
	return &Fleet{Store: s, Journal: NewJournal(), Pace: p, servers: map[string]*Server{}, crashCauses: map[string]bool{}}
}

// serverAt returns the running server at an address.
func (f *Fleet) serverAt(address string) (*Server, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	s, ok := f.servers[address]
	return s, ok
}

// CrashFunc is called as a server crashes, with the body or part that is the cause. It is called before
// any caller can see the crash.
type CrashFunc func(s *Server, cause string)

// CrashOn makes requests with a body, or with a part of their prompts, crash the servers that run
// them. At each crash, onCrash is called, in place of the function set by earlier calls.
func (f *Fleet) CrashOn(cause string, onCrash CrashFunc) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.crashCauses[cause] = true
	f.onCrash = onCrash
}

// crashHandler reports whether a request crashes the server that runs it, and returns the cause
// and the function to call after the crash.
func (f *Fleet) crashHandler(a Request) (CrashFunc, string, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, x := range a.crashCauses() {
		if f.crashCauses[x] {
			return f.onCrash, x, true
		}
	}
	return nil, "", false
}

// readHeaderTimeout is the maximum time to read the head of a request.
const readHeaderTimeout = 5 * time.Second

// StartServer starts a server on a listener and returns it with a function that stops it.
// The server has no entry in the store until Register is called, but other servers can
// copy runs to it. Engines answer with event streams.
func (f *Fleet) StartServer(s roster.Server, engine bool, l net.Listener) (*Server, func()) {
	g, closer := duty.New(context.Background())
	ctx, cancel := context.WithCancel(context.Background())
	x := &Server{
		Server: s, fleet: f, engine: engine, group: g, cancel: cancel, stopped: ctx,
		eventInterval: f.Pace.EventInterval, runs: map[api.RequestID]*streamRun{}, copies: map[string]*runState{}, conns: map[net.Conn]bool{},
	}
	x.http = &http.Server{Handler: f.Store.wire.ServerHandler(x), ReadHeaderTimeout: readHeaderTimeout, ConnState: x.trackConn}
	g.Go(func(context.Context) error {
		// Serve always returns an error when the server is closed.
		_ = x.http.Serve(duplicatingListener{l, x})
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
