package dispatch

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/admit"
	"github.com/wardridge/wardridge/internal/decide/length"
	"github.com/wardridge/wardridge/internal/decide/queue"
	"github.com/wardridge/wardridge/internal/decide/retry"
	"github.com/wardridge/wardridge/internal/decide/route"
	"github.com/wardridge/wardridge/internal/fault"
)

// Work describes a request to dispatch.
type Work struct {
	Request   api.RequestID
	Workspace api.WorkspaceName
	// Weight is the workspace's relative share of the engines.
	Weight       int
	Kind         api.RequestKind
	Priority     api.Priority
	Model        api.ModelName
	Adapter      api.AdapterName
	PromptTokens api.Tokens
	// MaxTokens is the longest answer that the request allows.
	MaxTokens api.Tokens
	// Prefix is the routing key that requests with the same prompt prefix share.
	Prefix   string
	Deadline time.Time
	// Avoid is the engine of a failed attempt, empty for none.
	Avoid api.ServerName
}

// Action is a decision to carry out: start the request on Server or, if Refusal is
// set, answer it with that error.
type Action struct {
	Request api.RequestID
	Server  api.ServerName
	Refusal *fault.Error
	// Reason says why the request starts now, for its trace.
	Reason string
}

// Options are the policies and limits of a dispatcher.
type Options struct {
	Admission admit.Policy
	Routing   route.Policy
	// QueueLimit is the largest number of requests that wait in each pool's queue.
	QueueLimit int
	// MaxQueueWait is the longest wait of a request of the least urgent priority.
	MaxQueueWait time.Duration
	// SuspectAfter is the time without a report after which an engine gets no work.
	SuspectAfter time.Duration
	// RetryPermille is the number of retries allowed for 1000 new requests.
	RetryPermille int
	// Seed makes the random choices reproducible.
	Seed uint64
}

// pool identifies the engines that have the same model and adapter loaded.
type pool struct {
	Model   api.ModelName
	Adapter api.AdapterName
}

// assigned is a request that runs on a server.
type assigned struct {
	work   Work
	server *server
	since  time.Time
}

// Dispatcher assigns the requests of one entry VM to engines. It is not safe for
// concurrent use.
type Dispatcher struct {
	options  Options
	random   *rand.Rand
	lengths  *length.Predictor
	budget   *retry.Budget
	servers  map[api.ServerName]*server
	order    []*server
	pools    map[pool][]*server
	queues   map[pool]*queue.Queue[Work]
	active   map[api.RequestID]*assigned
	interval completionInterval
}

// New returns a dispatcher without engines.
func New(o Options) *Dispatcher {
	return &Dispatcher{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
		lengths: length.New(),
		budget:  retry.New(o.RetryPermille),
		servers: map[api.ServerName]*server{},
		pools:   map[pool][]*server{},
		queues:  map[pool]*queue.Queue[Work]{},
		active:  map[api.RequestID]*assigned{},
	}
}

// Declare replaces the set of declared engines. A removed engine gets no new work and
// is forgotten when its last request ends.
func (d *Dispatcher) Declare(now time.Time, l []Server) []Action {
	for _, s := range d.servers {
		s.declared = false
	}
	for _, s := range l {
		x, ok := d.servers[s.Name]
		if !ok {
			x = newServer(s)
			d.servers[s.Name] = x
		}
		x.Server = s
		x.declared = true
	}
	d.forget()
	d.rebuild()
	return d.offerAll(now)
}

// forget removes the engines that are no longer declared and run no request.
func (d *Dispatcher) forget() {
	for n, s := range d.servers {
		if !s.declared && s.load.Running() == 0 {
			delete(d.servers, n)
		}
	}
}

// rebuild lists the engines by name and clears the cached pools.
func (d *Dispatcher) rebuild() {
	d.order = d.order[:0]
	for _, s := range d.servers {
		d.order = append(d.order, s)
	}
	slices.SortFunc(d.order, func(a, b *server) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	clear(d.pools)
}

// members lists the declared engines of a pool by name.
func (d *Dispatcher) members(p pool) []*server {
	var l []*server
	for _, s := range d.order {
		if s.declared && s.hasLoaded(p) {
			l = append(l, s)
		}
	}
	return l
}

// pool returns the engines of a pool, cached until the engines or their items change.
func (d *Dispatcher) pool(p pool) []*server {
	l, ok := d.pools[p]
	if !ok {
		l = d.members(p)
		d.pools[p] = l
	}
	return l
}

// Report records a load report and starts the waiting requests that fit now.
func (d *Dispatcher) Report(now time.Time, r api.LoadReport) []Action {
	s, ok := d.servers[r.Server]
	if !ok || !s.load.Report(now, r) {
		return nil
	}
	if s.setReport(r) {
		// pool builds the pools again on demand.
		clear(d.pools)
	}
	return d.offer(now, s)
}

// SetLeaving records whether the platform's list of VMs marks a server as leaving.
func (d *Dispatcher) SetLeaving(n api.ServerName, leaving bool) {
	if s, ok := d.servers[n]; ok {
		s.listedLeaving = leaving
	}
}

// ObserveRefusal records that an engine refused a request. The engine gets no work for
// a short time, or until it reports otherwise if it refused because it is leaving.
func (d *Dispatcher) ObserveRefusal(now time.Time, n api.ServerName, leaving bool) {
	s, ok := d.servers[n]
	if !ok {
		return
	}
	s.refusedAt = now
	s.reportedLeaving = s.reportedLeaving || leaving
}

// MarkUnreachable records that a connection to an engine failed: it gets no work until
// its next report.
func (d *Dispatcher) MarkUnreachable(n api.ServerName) {
	if s, ok := d.servers[n]; ok {
		s.unreachable = true
	}
}

// Submit starts, queues or refuses a new request.
func (d *Dispatcher) Submit(now time.Time, w Work) []Action {
	d.budget.CountFresh()
	return d.place(now, w)
}

// Retry starts, queues or refuses a request whose attempt failed before its first
// token, within the retry budget.
func (d *Dispatcher) Retry(now time.Time, w Work) []Action {
	if !d.budget.Allow() {
		f := fault.New(fault.NoServer, "the attempt failed and the retry budget is spent")
		return []Action{d.refuse(w.Request, f)}
	}
	return d.place(now, w)
}

// Progress records the number of tokens that a request has generated.
func (d *Dispatcher) Progress(r api.RequestID, made api.Tokens) {
	if a, ok := d.active[r]; ok {
		a.server.load.Progress(r, made)
	}
}

// Finish ends the attempt of a request and starts the waiting requests that fit in its
// place. ended is false if the attempt was cut off.
func (d *Dispatcher) Finish(now time.Time, r api.RequestID, made api.Tokens, ended bool) []Action {
	a, ok := d.active[r]
	if !ok {
		return nil
	}
	delete(d.active, r)
	a.server.load.Remove(r)
	if made > 0 {
		d.lengths.Observe(length.Key{Workspace: a.work.Workspace, Kind: a.work.Kind}, made, ended)
	}
	d.interval.observe(now)
	if !a.server.declared {
		d.forget()
		d.rebuild()
		return nil
	}
	return d.offer(now, a.server)
}

// Cancel removes a waiting request.
func (d *Dispatcher) Cancel(r api.RequestID) {
	for _, q := range d.queues {
		q.Remove(func(i queue.Item[Work]) bool { return i.Value.Request == r })
	}
}

// Tick refuses the requests whose wait has expired and starts those that fit.
func (d *Dispatcher) Tick(now time.Time) []Action {
	var out []Action
	for _, p := range d.waitingPools() {
		for _, w := range d.queues[p].Expire(now) {
			f := fault.New(fault.QueueTimeout, "no engine had capacity in time")
			if !now.Before(w.Deadline) {
				f = fault.New(fault.DeadlinePassed, "the deadline passed before an engine had capacity")
			}
			out = append(out, d.refuse(w.Request, f))
		}
	}
	return append(out, d.offerAll(now)...)
}

// StopWaiting refuses all waiting requests because of a planned stop.
func (d *Dispatcher) StopWaiting() []Action {
	var out []Action
	for _, p := range d.waitingPools() {
		for _, w := range d.queues[p].Remove(func(queue.Item[Work]) bool { return true }) {
			out = append(out, d.refuse(w.Request, fault.New(fault.Stopping, "this entry VM is stopping")))
		}
	}
	return out
}

// Waiting returns the number of waiting requests.
func (d *Dispatcher) Waiting() int {
	n := 0
	for _, q := range d.queues {
		n += q.Len()
	}
	return n
}

// Active returns the number of running requests.
func (d *Dispatcher) Active() int {
	return len(d.active)
}

// Status lists the states of the engines as known to this entry VM.
func (d *Dispatcher) Status(now time.Time) []api.ServerStatus {
	l := make([]api.ServerStatus, 0, len(d.order))
	for _, s := range d.order {
		l = append(l, api.ServerStatus{
			Server:   s.Name,
			State:    s.State(now, d.options.SuspectAfter),
			Reserved: s.load.Reserved(),
			KVTotal:  s.load.Total(),
			Running:  s.load.Running(),
			AgeMS:    api.ToMilliseconds(now.Sub(s.load.ReportedAt())),
		})
	}
	return l
}
