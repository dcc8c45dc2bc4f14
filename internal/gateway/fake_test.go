package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/retry"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/gateway"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

// eventGap is the time between two events of a fake engine.
const eventGap = 30 * time.Millisecond

// latencyTarget is the latency target of the test routes.
const latencyTarget = 100 * time.Millisecond

// gapTarget is the longest gap between two events that is in time.
const gapTarget = 180 * time.Millisecond

// firstCopyTime is the duration of the first copy of a run, and laterCopyTime that of a later
// one.
const (
	firstCopyTime = 300 * time.Millisecond
	laterCopyTime = 10 * time.Millisecond
)

// fakeRun is one generation, at whichever server it runs.
type fakeRun struct {
	total    int
	produced int
	server   string
	stopped  bool
	// working holds the servers that work on the run, with the time since when it has continued elsewhere
	// as well; zero if it has not.
	working map[string]time.Time
}

// stopOrder is an order to a server to stop a run.
type stopOrder struct {
	server string
	at     time.Time
}

// fakeServers stands in for all backend servers.
type fakeServers struct {
	mutex sync.Mutex
	// answers scripts plain servers: the status or error of each send, in order.
	answers map[string][]any
	sends   []string
	runs    map[string]*fakeRun
	dead    map[string]bool
	// full targets refuse copies; handles maps the handles of copies to the servers that hold
	// them.
	full    map[string]bool
	handles map[string]string
	copies  int
	// notBegun is how many more copies are refused because the run has not begun.
	notBegun int
	// hangCopies makes copies take longer than any notice of a leaving server.
	hangCopies bool
	released   []string
	closed     int
	total      int
	leaves     map[string]bool
	// stoppedAt maps the handles of stopped runs to their source servers, which hold the memory
	// as well.
	stoppedAt map[string]string
	// refuses names the servers that refuse each request and request a backoff.
	refuses map[string]bool
	// backoff is the backoff that these request.
	backoff time.Duration
	// closedPorts names the servers that refuse the connection of a query.
	closedPorts map[string]bool
	// signals are sent by servers in their reports.
	signals map[string]port.Signals
	// born is the start of the incarnation that answers at a server.
	born map[string]api.Birth
	// silent servers send nothing, while their connections stay open. Servers with
	// silentStreams answer queries and produce events, but nothing arrives over the streams
	// that are open. ahead is how many more events a report counts than arrived.
	silent map[string]bool
	// mute servers accept connections and work on, and answer neither orders nor queries.
	mute          map[string]bool
	silentStreams map[string]bool
	ahead         int
	// gap is the time between two events; reports counts the queries.
	gap     time.Duration
	reports int
	// fullAtStop makes the target full when a run is next ordered to stop. loseStopAnswers makes such orders
	// end without an answer after the run has stopped.
	fullAtStop, loseStopAnswers bool
	// broken servers lose the connections of their streams and work on.
	broken map[string]bool
	// stopOrders are the orders to stop a run, in order.
	stopOrders []stopOrder
	// stopFaults are the failures of the next orders to stop a run, which have no effect. stopDelay is how
	// long an order takes to have its effect.
	stopFaults []error
	stopDelay  time.Duration
	// overlap is the longest time that a server worked on a run that had continued elsewhere.
	overlap time.Duration
	// unframed streams end with their connections, and those of stopped runs look the same.
	unframed bool
	// waiting makes a stream report unread bytes.
	waiting bool
	// log receives the gateway's log lines.
	log *event.Log
	// backups lets servers hold backup copies of runs.
	backups bool
	// timesLeft are the times left that were sent to servers, in order. bootAhead is by how
	// much the boot clock is ahead of the ordinary clock.
	timesLeft []time.Duration
	bootAhead time.Duration
	// answerTime is how long a plain server takes for an answer, if it is set.
	answerTime time.Duration
	// refusals is how many more sends are refused, each after refusalTime.
	refusalTime time.Duration
	refusals    int
}

func newFakeServers() *fakeServers {
	return &fakeServers{
		answers: map[string][]any{}, runs: map[string]*fakeRun{}, dead: map[string]bool{},
		full: map[string]bool{}, handles: map[string]string{}, leaves: map[string]bool{}, signals: map[string]port.Signals{}, stoppedAt: map[string]string{}, refuses: map[string]bool{}, closedPorts: map[string]bool{}, broken: map[string]bool{}, born: map[string]api.Birth{}, silent: map[string]bool{}, mute: map[string]bool{}, silentStreams: map[string]bool{}, gap: eventGap, total: 20, backoff: time.Minute, log: event.Discard(),
	}
}

// boot reads a clock that runs on while the VM is suspended.
func (f *fakeServers) boot() time.Time {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return time.Now().Add(f.bootAhead)
}

func (f *fakeServers) Send(ctx context.Context, a port.Attempt) (port.Answer, error) {
	if d := f.callTime(); d > 0 {
		return answerLate(ctx, a, d)
	}
	if f.takeRefusal() {
		duty.Sleep(ctx, f.refusalTime)
		return port.Answer{}, fault.New(fault.ServerRefused, "no capacity")
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n := string(a.Server.Name)
	f.sends = append(f.sends, n)
	f.timesLeft = append(f.timesLeft, a.Timeout)
	if l := f.answers[n]; len(l) > 0 {
		f.answers[n] = l[1:]
		if err, ok := l[0].(error); ok {
			return port.Answer{}, err
		}
		status := l[0].(int)
		return port.Answer{Head: port.Head{Status: status}, Body: []byte(n), Unproven: status == http.StatusServiceUnavailable}, nil
	}
	if f.dead[n] {
		return port.Answer{}, fault.New(fault.NotStarted, "server crashed")
	}
	if f.refuses[n] {
		return port.Answer{Signals: port.Signals{Answered: true, BackoffRequested: true, Backoff: f.backoff}}, fault.New(fault.ServerRefused, "load shed")
	}
	return f.open(ctx, a)
}

// takeRefusal reports whether a send is to be refused after refusalTime.
func (f *fakeServers) takeRefusal() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.refusals == 0 {
		return false
	}
	f.refusals--
	return true
}

// setSpeed sets the time between events, and that of a call.
func (f *fakeServers) setSpeed(gap, answerTime time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.gap, f.answerTime = gap, answerTime
}

// eventInterval returns the time between two events.
func (f *fakeServers) eventInterval() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.gap
}

// callTime returns how long a plain server takes for an answer, zero for none that is set.
func (f *fakeServers) callTime() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.answerTime
}

// answerLate answers a call after a time.
func answerLate(ctx context.Context, a port.Attempt, d time.Duration) (port.Answer, error) {
	if !duty.Sleep(ctx, d) {
		return port.Answer{}, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "no answer")
	}
	return port.Answer{Head: port.Head{Status: http.StatusOK}, Body: []byte(a.Server.Name)}, nil
}

// sent counts the sends so far.
func (f *fakeServers) sent() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.sends)
}

// open starts or resumes a run; the caller holds the mutex.
func (f *fakeServers) open(ctx context.Context, a port.Attempt) (port.Answer, error) {
	n, id := string(a.Server.Name), string(a.Request.ID)
	r := f.runs[id]
	after := 0
	if x := a.Resume; x != nil {
		if f.handles[x.Handle] != n && f.stoppedAt[x.Handle] != n {
			return port.Answer{}, fault.New(fault.ServerRefused, "no such copy")
		}
		after, _ = strconv.Atoi(x.LastEventID)
		r.stopped = false
	} else {
		r = &fakeRun{total: f.total, working: map[string]time.Time{}}
		f.runs[id] = r
	}
	for w, t := range r.working {
		if t.IsZero() && !f.silent[w] && !f.dead[w] {
			r.working[w] = time.Now()
		}
	}
	r.server, r.working[n] = n, time.Time{}
	if a.BackupAddress != "" {
		f.handles[id] = a.BackupAddress
	}
	s := &fakeStream{fake: f, run: r, server: n, next: after + 1, closed: make(chan struct{})}
	h := http.Header{"Content-Type": {"text/event-stream"}}
	return port.Answer{Head: port.Head{Status: http.StatusOK, Header: h}, Stream: s}, ctx.Err()
}

type fakeStream struct {
	fake   *fakeServers
	run    *fakeRun
	server string
	next   int
	closed chan struct{}
	once   sync.Once
}

func (s *fakeStream) Next() (port.Event, error) {
	t := time.NewTimer(s.fake.eventInterval())
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.closed:
		return port.Event{}, fault.New(fault.GenerationLost, "closed")
	}
	for s.silent() {
		select {
		case <-time.After(eventGap):
		case <-s.closed:
			return port.Event{}, fault.New(fault.GenerationLost, "closed")
		}
	}
	s.fake.mutex.Lock()
	defer s.fake.mutex.Unlock()
	switch {
	case s.fake.unframed && s.run.server == s.server && !s.fake.dead[s.server] && (s.run.stopped || s.next > s.run.total):
		return port.Event{}, port.ErrUnmarkedEnd
	case s.run.stopped || s.fake.broken[s.server] || s.fake.dead[s.server] || s.run.server != s.server:
		return port.Event{}, fault.New(fault.GenerationLost, "connection broken")
	case s.next > s.run.total:
		return port.Event{}, io.EOF
	}
	id := strconv.Itoa(s.next)
	s.run.produced = max(s.run.produced, s.next)
	s.next++
	return port.Event{ID: id, Bytes: []byte("id: " + id + "\n\n")}, nil
}

func (s *fakeStream) HasUnread() bool {
	s.fake.mutex.Lock()
	defer s.fake.mutex.Unlock()
	return s.fake.waiting
}

// silent reports whether nothing arrives over this connection any more.
func (s *fakeStream) silent() bool {
	s.fake.mutex.Lock()
	defer s.fake.mutex.Unlock()
	return s.fake.silent[s.server] || s.fake.silentStreams[s.server]
}

func (s *fakeStream) Close() {
	s.once.Do(func() {
		close(s.closed)
		s.fake.mutex.Lock()
		defer s.fake.mutex.Unlock()
		s.fake.closed++
	})
}

// stopWork ends the work of a server on a run; the caller holds the mutex.
func (f *fakeServers) stopWork(r *fakeRun, n string) {
	if t := r.working[n]; !t.IsZero() {
		f.overlap = max(f.overlap, time.Since(t))
	}
	delete(r.working, n)
}

// revive makes a silent server answer again, which then works on with its runs.
func (f *fakeServers) revive(n string) {
	f.silent[n] = false
	for _, r := range f.runs {
		if t, ok := r.working[n]; ok && t.IsZero() && r.server != n {
			r.working[n] = time.Now()
		}
	}
}

// longestOverlap returns the longest time that a server worked on a run that had continued elsewhere.
func (f *fakeServers) longestOverlap() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	d := f.overlap
	for _, r := range f.runs {
		for _, t := range r.working {
			if !t.IsZero() {
				d = max(d, time.Since(t))
			}
		}
	}
	return d
}

// takeStopFault returns the failure of an order to stop a run that has no effect, if one is set.
func (f *fakeServers) takeStopFault() error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.stopFaults) == 0 {
		return nil
	}
	err := f.stopFaults[0]
	f.stopFaults = f.stopFaults[1:]
	return err
}

// Copy copies a run, which its server may be ordered to stop.
func (f *fakeServers) Copy(ctx context.Context, o port.CopyRequest) (port.Copy, error) {
	f.mutex.Lock()
	dark, dead, mute, delay := f.silent[string(o.Source.Name)], f.dead[string(o.Source.Name)], f.mute[string(o.Source.Name)], f.stopDelay
	if o.StopSource {
		f.stopOrders = append(f.stopOrders, stopOrder{string(o.Source.Name), time.Now()})
	}
	f.mutex.Unlock()
	if dark {
		if o.ConnectTimeout > 0 {
			duty.Sleep(ctx, o.ConnectTimeout)
		} else {
			<-ctx.Done()
		}
		return port.Copy{}, fault.Wrap(fault.NotStarted, context.DeadlineExceeded, "server silent")
	}
	if dead {
		return port.Copy{}, fault.Wrap(fault.NotStarted, syscall.ECONNREFUSED, "server crashed")
	}
	if mute {
		<-ctx.Done()
		return port.Copy{}, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "no answer in time")
	}
	if o.StopSource {
		if err := f.takeStopFault(); err != nil {
			return port.Copy{}, err
		}
		time.Sleep(delay)
	}
	f.mutex.Lock()
	if r := f.runs[string(o.Request)]; o.StopSource && r != nil && r.server != string(o.Source.Name) {
		// The run works on at a server that has lost its connection.
		f.stopWork(r, string(o.Source.Name))
		f.mutex.Unlock()
		return port.Copy{}, fault.New(fault.NotFound, "no such run")
	}
	first := f.copies == 0
	if f.notBegun > 0 {
		f.notBegun--
		f.mutex.Unlock()
		return port.Copy{}, fault.New(fault.NotFound, "run not started")
	}
	hangs := f.hangCopies
	f.mutex.Unlock()
	switch {
	case hangs:
		time.Sleep(3 * time.Second)
	case first:
		time.Sleep(firstCopyTime)
	default:
		time.Sleep(laterCopyTime)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r := f.runs[string(o.Request)]
	switch {
	case f.dead[string(o.Source.Name)]:
		return port.Copy{}, fault.Wrap(fault.NotStarted, syscall.ECONNREFUSED, "server crashed")
	case r == nil:
		return port.Copy{}, fault.New(fault.NotFound, "no such run")
	case r.server != string(o.Source.Name) || r.stopped || f.unframed && r.produced == r.total:
		return port.Copy{}, fault.New(fault.NotFound, "no such run")
	case f.full[string(o.Target.Name)]:
		return port.Copy{}, fault.New(fault.ServerRefused, "no capacity")
	}
	f.copies++
	h := "h-" + string(o.Target.Name)
	f.handles[h] = string(o.Target.Name)
	if o.StopSource {
		r.stopped = true
		f.stopWork(r, string(o.Source.Name))
		f.stoppedAt[h] = string(o.Source.Name)
	}
	switch {
	case o.StopSource && f.fullAtStop:
		f.fullAtStop = false
		delete(f.handles, h)
		return port.Copy{Handle: h}, fault.New(fault.ServerRefused, "no capacity")
	case o.StopSource && f.loseStopAnswers:
		return port.Copy{}, fault.New(fault.OutcomeUnknown, "no answer")
	}
	return port.Copy{Handle: h}, nil
}

func (f *fakeServers) Report(ctx context.Context, s roster.Server, _ bool) (port.Report, error) {
	n := string(s.Name)
	f.mutex.Lock()
	dark, closed := f.silent[n] || f.mute[n], f.closedPorts[n]
	f.reports++
	f.mutex.Unlock()
	if closed {
		return port.Report{}, fault.Wrap(fault.NotStarted, syscall.ECONNREFUSED, "connecting")
	}
	if dark {
		<-ctx.Done()
		return port.Report{}, fault.Wrap(fault.NotStarted, ctx.Err(), "server silent")
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	p := port.Report{Leaving: f.leaves[n], Birth: f.born[n], EventCounts: map[api.RequestID]int{}, Signals: f.signals[n]}
	for id, r := range f.runs {
		if r.server == n {
			p.EventCounts[api.RequestID(id)] = r.produced + f.ahead
		}
	}
	return p, nil
}

func (f *fakeServers) ReleaseCopy(_ context.Context, _ roster.Server, handle string) (port.Signals, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.released = append(f.released, handle)
	return port.Signals{}, nil
}

// caller collects the answer of one request.
type caller struct {
	mutex   sync.Mutex
	status  int
	body    string
	ids     []string
	ended   bool
	aborted bool
	fault   *fault.Error
	gone    bool
}

func (c *caller) WriteAnswer(a port.Answer) { c.status, c.body = a.Status, string(a.Body) }
func (c *caller) BeginStream(h port.Head)   { c.status = h.Status }

func (c *caller) EndStream() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ended = true
}

func (c *caller) Abort() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.aborted = true
}

// wasAborted reports whether the answer was aborted.
func (c *caller) wasAborted() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.aborted
}

func (c *caller) Refuse(f *fault.Error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fault = f
}

// refused returns the refusal so far, nil for none.
func (c *caller) refused() *fault.Error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.fault
}

func (c *caller) WriteEvent(e port.Event) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.gone {
		return io.ErrClosedPipe
	}
	c.ids = append(c.ids, e.ID)
	return nil
}

// disconnect makes the next event fail as if the caller had closed its connection.
func (c *caller) disconnect() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gone = true
}

func (c *caller) count() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.ids)
}

// complete reports whether the caller got the events 1 to n once each and in order, and the
// end.
func (c *caller) complete(n int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.ids) != n || !c.ended || c.aborted {
		return false
	}
	for i, id := range c.ids {
		if id != strconv.Itoa(i+1) {
			return false
		}
	}
	return true
}

// testGateway is a gateway in front of fake servers.
type testGateway struct {
	*gateway.Gateway
	fake    *fakeServers
	list    serverList
	version api.Version
}

// newTestGateway makes a gateway with a stream route and plain routes, two engines and two
// plain servers.
func newTestGateway(t *testing.T, f *fakeServers, slack float64) *testGateway {
	t.Helper()
	return newTestGatewayWith(t, f, slack, nil)
}

// newTestGatewayWith is newTestGateway with other entry VMs.
func newTestGatewayWith(t *testing.T, f *fakeServers, slack float64, p gateway.Peers) *testGateway {
	t.Helper()
	g, closer := duty.New(context.Background())
	t.Cleanup(closer)
	b := &testGateway{fake: f, Gateway: gateway.New(gateway.Options{
		Deadlines: clock.NewDeadlines(f.boot),
		Domain:    "x", Backends: f, Peers: p, Group: g, Log: f.log, Metrics: metric.New(),
		Retries: retry.NewWindows(10*time.Second, 0, slack),
	})}
	e := &directory.Engine{Slots: 24, Memory: 34000, SupportsMoves: true, SupportsBackups: f.backups, TokensPerEvent: 4}
	route := func(p string, k directory.Kind, s api.ServiceName) directory.Route {
		return directory.Route{Name: p, Host: "h", Prefix: p, Kind: k, Timeout: 30 * time.Second, LatencyTarget: latencyTarget, GapTarget: gapTarget, MaxServers: 2, Targets: []directory.Target{{Service: s, Weight: 1}}}
	}
	timeless := route("/timeless/", directory.Unsafe, "plain")
	timeless.Timeout = 0
	b.Configure(replica.Snapshot[directory.Config]{Items: []replica.Object[directory.Config]{{Value: directory.Config{
		Version: 1,
		Routes: []directory.Route{
			route("/stream/", directory.Stream, "engines"), route("/safe/", directory.Safe, "plain"), route("/unsafe/", directory.Unsafe, "plain"), timeless,
		},
		Services: []directory.Service{{Name: "engines", Engine: e}, {Name: "plain"}},
	}}}})
	b.servers(map[string]bool{"e1": false, "e2": false, "p1": false, "p2": false})
	return b
}

// servers declares servers by name; the value is whether a server is draining.
func (b *testGateway) servers(m map[string]bool) {
	var l []roster.Server
	for n, d := range m {
		l = append(l, server(n, "x", d))
	}
	b.serve(l)
}

// server makes a server in a failure domain. It is an engine if its name begins with e.
func server(n string, d api.DomainName, draining bool) roster.Server {
	v := api.ServiceName("plain")
	if n[0] == 'e' {
		v = "engines"
	}
	return roster.Server{Name: api.ServerName(n), Service: v, Address: n, Domain: d, Slots: 6, Draining: draining}
}

// serve declares servers.
func (b *testGateway) serve(l []roster.Server) {
	b.version++
	b.UpdateServers(b.list.update(b.version, l))
}

// notice declares that one of the two engines is leaving.
func (b *testGateway) notice(engine string) {
	b.servers(map[string]bool{engine: true, other(engine): false})
}

func request(path string) *port.Request {
	return &port.Request{
		ID: "r", Method: http.MethodPost, Host: "h", Path: path, Target: path, Header: http.Header{}, Arrived: time.Now(),
		MaxWait: 20 * time.Second, Prompt: port.Prompt{Tokens: 3000, MaxTokens: 2000, ExpectedTokens: 900},
	}
}
