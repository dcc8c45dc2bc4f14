package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/port"
)

const (
	// crashAfter is how long a server runs a request that crashes it.
	crashAfter = 100 * time.Millisecond
	// entryLapse is the time from a server's crash until its entry lapses, and
	// restartDelay until its successor starts.
	entryLapse   = 3500 * time.Millisecond
	restartDelay = 3 * time.Second
	// plainDuration is the duration of a plain request, eventInterval the time between
	// two events of a stream, and eventCount their number.
	plainDuration = 15 * time.Millisecond
	eventInterval = 30 * time.Millisecond
	eventCount    = 30
	// longAnswer is the expected length from which an answer counts as long.
	longAnswer api.Tokens = 500
)

// begunRequest is one request that a server began to run.
type begunRequest struct {
	at     time.Time
	id     api.RequestID
	server roster.Server
	body   string
	deadly bool
}

// pool simulates all backend servers. A server that runs a request with the deadly body or
// a deadly part in its prompt crashes.
type pool struct {
	config  *objectKind[directory.Config]
	entries *objectKind[roster.Server]
	group   *duty.Group
	net     *network
	deadly  string
	// deadlyParts are the parts of prompts that crash the servers which answer them.
	deadlyParts []api.PartID
	// prefill is the time that an engine takes to read a prompt, and longEvents the number of
	// events of a stream whose caller expects a long answer; zero for eventCount.
	prefill    time.Duration
	longEvents int
	// resetting makes servers cut off two of three requests without crashing.
	resetting bool
	// version is the software version of the servers that are added.
	version api.SoftwareVersion
	// size is the number of servers that each service starts with.
	size map[api.ServiceName]int

	mutex sync.Mutex
	// live holds the functions that stop the live servers, and contexts the context that
	// ends with each server.
	live     map[api.ServerName]context.CancelFunc
	contexts map[api.ServerName]context.Context
	added    int
	begun    []begunRequest
	cancels  []func()
	crashed  []time.Time
	// crashedByPart holds the crashes under deadly parts.
	crashedByPart []time.Time
}

// newPool returns a pool with the given numbers of engines and plain servers in three
// failure domains.
func newPool(engines, plain int) *pool {
	route := func(p string, k directory.Kind, s api.ServiceName) directory.Route {
		return directory.Route{Name: p, Host: "h", Prefix: p, Kind: k, Timeout: 30 * time.Second, LatencyTarget: 2 * time.Second, GapTarget: 180 * time.Millisecond, MaxServers: 2, Anonymous: true, Targets: []directory.Target{{Service: s, Weight: 1}}}
	}
	c := directory.Config{
		Version: 1,
		Routes: []directory.Route{
			route("/stream/", directory.Stream, "engines"), route("/safe/", directory.Safe, "plain"), route("/unsafe/", directory.Unsafe, "plain"),
		},
		Services: []directory.Service{{Name: "engines", Engine: &directory.Engine{Slots: 24, Memory: 34000, SupportsMoves: true, SupportsBackups: true, TokensPerEvent: 4}}, {Name: "plain"}},
	}
	p := &pool{
		config:  newObjectKind(replica.Object[directory.Config]{Name: "main", Version: 1, Value: c}),
		entries: newObjectKind[roster.Server](), deadly: "deadly",
		live: map[api.ServerName]context.CancelFunc{}, contexts: map[api.ServerName]context.Context{},
		size: map[api.ServiceName]int{"engines": engines, "plain": plain}, version: "v1",
	}
	return p
}

// open starts the servers on a network.
func (p *pool) open(g *duty.Group, n *network) {
	p.group, p.net = g, n
	for s, n := range p.size {
		for range n {
			p.add(s)
		}
	}
}

// close stops all servers.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, end := range p.live {
		end()
	}
	for _, cancel := range p.cancels {
		cancel()
	}
}

// add starts a server of a service.
func (p *pool) add(s api.ServiceName) {
	p.mutex.Lock()
	p.added++
	n := api.ServerName(fmt.Sprintf("i-%03d", p.added))
	ctx, end := context.WithCancel(context.Background())
	a := fmt.Sprintf("10.0.3.%d:80", p.added)
	p.contexts[n], p.live[n] = ctx, p.listen(a, end)
	x := roster.Server{Name: n, ID: api.ServerID(n), Service: s, Address: a, Domain: api.DomainName(fmt.Sprintf("hall-%d", p.added%3)), Slots: 24, Version: p.version}
	p.mutex.Unlock()
	p.entries.put(string(n), x)
}

// listen accepts connections at an address of a server. It returns a function that stops
// listening and then calls end.
func (p *pool) listen(a string, end func()) func() {
	l, err := machine{p.net, host(a)}.listen(context.Background(), a)
	if err != nil {
		panic(err)
	}
	p.group.Go(func(context.Context) error {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			_ = c.Close()
		}
		return nil
	})
	return func() {
		_ = l.Close()
		end()
	}
}

// crash ends a server without notice. A successor starts after restartDelay, and the entry
// lapses after entryLapse.
func (p *pool) crash(s roster.Server) {
	p.mutex.Lock()
	end, ok := p.live[s.Name]
	delete(p.live, s.Name)
	if ok {
		p.crashed = append(p.crashed, time.Now())
	}
	p.mutex.Unlock()
	if !ok {
		return
	}
	end()
	p.group.Go(func(ctx context.Context) error {
		if duty.Sleep(ctx, restartDelay) {
			p.add(s.Service)
		}
		if duty.Sleep(ctx, entryLapse-restartDelay) {
			p.entries.remove(string(s.Name))
		}
		return nil
	})
}

// beginRequest records that a server begins to run a request. It returns the context that
// ends when the server cuts the request off, or false if the server has ended.
func (p *pool) beginRequest(a port.Attempt) (context.Context, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, ok := p.live[a.Server.Name]; !ok {
		return nil, false
	}
	p.begun = append(p.begun, begunRequest{time.Now(), a.Request.ID, a.Server, string(a.Request.Body), p.isDeadly(a.Request)})
	if p.resetting && len(p.begun)%3 != 0 {
		ctx, cancel := context.WithTimeout(p.contexts[a.Server.Name], plainDuration/2)
		p.cancels = append(p.cancels, cancel)
		return ctx, true
	}
	return p.contexts[a.Server.Name], true
}

// countLate counts the deadly requests that reached a server later than d after the n-th
// crash.
func (p *pool) countLate(n int, d time.Duration) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.countDeadlySince(p.crashed, n, d)
}

// countLateParts counts the requests with a deadly part that reached a server later than d
// after the n-th crash under such a part.
func (p *pool) countLateParts(n int, d time.Duration) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.countDeadlySince(p.crashedByPart, n, d)
}

// countDeadlySince counts the deadly requests that reached a server later than d after the
// n-th of the crashes; the caller holds the mutex.
func (p *pool) countDeadlySince(crashes []time.Time, n int, d time.Duration) int {
	if len(crashes) < n {
		return 0
	}
	late := 0
	for _, x := range p.begun {
		if x.deadly && x.at.Sub(crashes[n-1]) > d {
			late++
		}
	}
	return late
}

// isDeadly reports whether a request crashes the servers that run it.
func (p *pool) isDeadly(r *port.Request) bool {
	return string(r.Body) == p.deadly || p.hasDeadlyPart(r)
}

// hasDeadlyPart reports whether a deadly part is in the prompt of a request.
func (p *pool) hasDeadlyPart(r *port.Request) bool {
	return slices.ContainsFunc(r.Prompt.SharedParts, func(x api.PartID) bool { return slices.Contains(p.deadlyParts, x) })
}

// crashUnder crashes a server under a deadly request.
func (p *pool) crashUnder(r *port.Request, s roster.Server) {
	p.mutex.Lock()
	if _, ok := p.live[s.Name]; ok && p.hasDeadlyPart(r) {
		p.crashedByPart = append(p.crashedByPart, time.Now())
	}
	p.mutex.Unlock()
	p.crash(s)
}

// lastServer returns the server that began to run a request last.
func (p *pool) lastServer(id api.RequestID) roster.Server {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var s roster.Server
	for _, x := range p.begun {
		if x.id == id {
			s = x.server
		}
	}
	return s
}

// liveServers returns up to n live servers of a service.
func (p *pool) liveServers(n int, s api.ServiceName) []roster.Server {
	var l []roster.Server
	x, _ := p.entries.List(context.Background())
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, o := range x.Items {
		if _, ok := p.live[o.Value.Name]; ok && o.Value.Service == s && len(l) < n {
			l = append(l, o.Value)
		}
	}
	return l
}

// crashCount counts the servers that have crashed.
func (p *pool) crashCount() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.crashed)
}

// Send runs a request on a server.
func (p *pool) Send(ctx context.Context, a port.Attempt) (port.Answer, error) {
	end, ok := p.beginRequest(a)
	if !ok {
		return port.Answer{}, refusedConnection(a.Server.Address)
	}
	deadly := p.isDeadly(a.Request)
	if deadly {
		delay := crashAfter
		if a.Stream {
			delay += p.prefill
		}
		p.group.Go(func(ctx context.Context) error {
			duty.Sleep(ctx, delay)
			p.crashUnder(a.Request, a.Server)
			return nil
		})
	}
	if a.Stream {
		s := &poolStream{serverCtx: end, deadly: deadly, prefill: p.prefill, count: eventCount, closed: make(chan struct{})}
		if p.longEvents > 0 && a.Request.Prompt.ExpectedTokens > longAnswer {
			s.count = p.longEvents
		}
		if x := a.Resume; x != nil {
			s.sent, _ = strconv.Atoi(x.LastEventID)
		}
		return port.Answer{Head: port.Head{Status: http.StatusOK}, Stream: s}, nil
	}
	work := plainDuration
	if deadly {
		work = 2 * crashAfter
	}
	select {
	case <-time.After(work):
		return port.Answer{Head: port.Head{Status: http.StatusOK}, Body: []byte("done")}, nil
	case <-end.Done():
		return port.Answer{}, fault.Wrap(fault.OutcomeUnknown, io.EOF, "the connection was closed before the end of the answer")
	case <-ctx.Done():
		return port.Answer{}, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "no answer in time")
	}
}

// Copy refuses every copy for lack of memory. A server that has ended refuses the connection.
func (p *pool) Copy(_ context.Context, o port.CopyRequest) (port.Copy, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, ok := p.live[o.Source.Name]; !ok {
		return port.Copy{}, refusedConnection(o.Source.Address)
	}
	return port.Copy{}, fault.New(fault.ServerRefused, "no free memory")
}

// refusedConnection is the fault of an attempt at a server that has ended.
func refusedConnection(address string) error {
	err := &net.OpError{Op: "dial", Net: "memory", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	return fault.Wrap(fault.NotStarted, err, "connecting to "+address)
}

// Report returns an empty report of a live server, and an error for one that has ended.
func (p *pool) Report(_ context.Context, s roster.Server, _ bool) (port.Report, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, ok := p.live[s.Name]; !ok {
		return port.Report{}, fault.New(fault.NotStarted, "the server has ended")
	}
	return port.Report{EventCounts: map[api.RequestID]int{}}, nil
}

// ReleaseCopy does nothing, because there are no backup copies.
func (*pool) ReleaseCopy(context.Context, roster.Server, string) (port.Signals, error) {
	return port.Signals{}, nil
}

// poolStream is the event stream of one run; a deadly run has no events.
type poolStream struct {
	serverCtx context.Context
	deadly    bool
	prefill   time.Duration
	count     int
	sent      int
	once      sync.Once
	closed    chan struct{}
}

// Next returns the next event after eventInterval, the first one after the prefill too, and
// io.EOF after the last event.
func (s *poolStream) Next() (port.Event, error) {
	step := eventInterval
	if s.deadly {
		step = time.Minute
	}
	if s.sent == 0 {
		step += s.prefill
	}
	t := time.NewTimer(step)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.serverCtx.Done():
		return port.Event{}, fault.Wrap(fault.GenerationLost, io.ErrUnexpectedEOF, "the stream broke off")
	case <-s.closed:
		return port.Event{}, fault.New(fault.GenerationLost, "the stream was closed")
	}
	if s.sent == s.count {
		return port.Event{}, io.EOF
	}
	s.sent++
	return port.Event{ID: strconv.Itoa(s.sent)}, nil
}

func (*poolStream) HasUnread() bool { return false }

func (s *poolStream) Close() { s.once.Do(func() { close(s.closed) }) }
