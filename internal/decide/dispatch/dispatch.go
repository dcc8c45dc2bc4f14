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

// Work is what is known of a request before it runs.
type Work struct {
	Request   api.RequestID
	Workspace api.WorkspaceName
	Weight    int
	Kind      api.RequestKind
	Priority  api.Priority
	Model     api.ModelName
	Adapter   api.AdapterName
	Prompt    api.Tokens
	Max       api.Tokens
	Prefix    string
	Deadline  time.Time
	// Avoid is the engine of a failed attempt.
	Avoid api.ServerName
}

// Action is one decision to carry out: start the request at Server, or, with a
// Refusal, answer it at once.
type Action struct {
	Request api.RequestID
	Server  api.ServerName
	Refusal *fault.Error
	Reason  string
}

// Options are the policies and bounds of a dispatcher.
type Options struct {
	Admission     admit.Policy
	Routing       route.Policy
	QueueLimit    int
	QueueWait     time.Duration
	Suspect       time.Duration
	RetryPermille int
	Seed          uint64
}

// pool names the engines that can serve a request.
type pool struct {
	Model   api.ModelName
	Adapter api.AdapterName
}

type assigned struct {
	work   Work
	server *server
	since  time.Time
}

// Dispatcher is the state of one entry VM's decisions on engines.
type Dispatcher struct {
	options Options
	random  *rand.Rand
	lengths *length.Predictor
	budget  *retry.Budget
	servers map[api.ServerName]*server
	order   []*server
	pools   map[pool][]*server
	queues  map[pool]*queue.Queue[Work]
	active  map[api.RequestID]*assigned
	rate    rate
}

// New makes a dispatcher that knows no server yet.
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

// Declare takes the engines in force; one that is gone gets no new work and is
// forgotten when its last request ends.
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
	return d.drainQueues(now)
}

func (d *Dispatcher) forget() {
	for n, s := range d.servers {
		if !s.declared && s.load.Running() == 0 {
			delete(d.servers, n)
		}
	}
}

// rebuild sorts the engines into pools anew.
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

func (d *Dispatcher) members(p pool) []*server {
	var l []*server
	for _, s := range d.order {
		if s.declared && s.has(p) {
			l = append(l, s)
		}
	}
	return l
}

func (d *Dispatcher) pool(p pool) []*server {
	l, ok := d.pools[p]
	if !ok {
		l = d.members(p)
		d.pools[p] = l
	}
	return l
}

// Report takes a load report and starts what fits now.
func (d *Dispatcher) Report(now time.Time, r api.LoadReport) []Action {
	s, ok := d.servers[r.Server]
	if !ok || !s.load.Report(now, r) {
		return nil
	}
	if s.setReport(r) {
		// The pools are worked out anew when they are next asked for.
		clear(d.pools)
	}
	return d.offer(now, s)
}

// Listed notes whether the platform's list says that a server is leaving.
func (d *Dispatcher) Listed(n api.ServerName, leaving bool) {
	if s, ok := d.servers[n]; ok {
		s.listed = leaving
	}
}

// Refused notes that an engine refused work; one that is leaving gets no more.
func (d *Dispatcher) Refused(now time.Time, n api.ServerName, leaving bool) {
	s, ok := d.servers[n]
	if !ok {
		return
	}
	s.refused = now
	s.leaving = s.leaving || leaving
}

// Lost notes that an engine could not be connected to: it gets no work until
// it reports again.
func (d *Dispatcher) Lost(n api.ServerName) {
	if s, ok := d.servers[n]; ok {
		s.lost = true
	}
}

// Submit decides on a new request.
func (d *Dispatcher) Submit(now time.Time, w Work) []Action {
	d.budget.CountFresh()
	return d.place(now, w)
}

// Again decides on a request whose attempt failed before its first token; the
// retry budget bounds it.
func (d *Dispatcher) Again(now time.Time, w Work) []Action {
	if !d.budget.Allow() {
		f := fault.New(fault.NoServer, "the attempt failed and the retry budget is spent")
		return []Action{d.refuse(w.Request, f)}
	}
	return d.place(now, w)
}

// Progress notes the tokens that a request has made.
func (d *Dispatcher) Progress(r api.RequestID, made api.Tokens) {
	if a, ok := d.active[r]; ok {
		a.server.load.Progress(r, made)
	}
}

// Finish ends a request's attempt and starts what fits in its place; ended is
// false for an attempt that was cut off.
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
	d.rate.observe(now)
	if !a.server.declared {
		d.forget()
		d.rebuild()
		return nil
	}
	return d.offer(now, a.server)
}

// Cancel takes a waiting request out.
func (d *Dispatcher) Cancel(r api.RequestID) {
	for _, q := range d.queues {
		q.Remove(func(i queue.Item[Work]) bool { return i.Value.Request == r })
	}
}

// Tick refuses requests that waited too long and starts what fits.
func (d *Dispatcher) Tick(now time.Time) []Action {
	var out []Action
	for _, p := range d.waitingPools() {
		for _, w := range d.queues[p].Expire(now) {
			f := fault.New(fault.QueueTimeout, "no engine had room in time")
			out = append(out, d.refuse(w.Request, f))
		}
	}
	return append(out, d.drainQueues(now)...)
}

// StopWaiting refuses every request that waits, for a planned stop.
func (d *Dispatcher) StopWaiting() []Action {
	var out []Action
	for _, p := range d.waitingPools() {
		for _, w := range d.queues[p].Remove(func(queue.Item[Work]) bool { return true }) {
			out = append(out, d.refuse(w.Request, fault.New(fault.Stopping, "this entry VM is stopping")))
		}
	}
	return out
}

// Waiting counts the requests that wait.
func (d *Dispatcher) Waiting() int {
	n := 0
	for _, q := range d.queues {
		n += q.Len()
	}
	return n
}

// Active counts the requests that run.
func (d *Dispatcher) Active() int {
	return len(d.active)
}

// Status lists the engines as this entry VM sees them.
func (d *Dispatcher) Status(now time.Time) []api.ServerStatus {
	l := make([]api.ServerStatus, 0, len(d.order))
	for _, s := range d.order {
		l = append(l, api.ServerStatus{
			Server:   s.Name,
			State:    s.State(now, d.options.Suspect),
			Reserved: s.load.Reserved(),
			KVTotal:  s.load.Total(),
			Running:  s.load.Running(),
			AgeMS:    api.ToMilliseconds(now.Sub(s.load.ReportedAt())),
		})
	}
	return l
}
