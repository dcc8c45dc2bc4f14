package dispatch

import (
	"math/rand/v2"
	"slices"
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
		if a.Name < b.Name {
			return -1
		}
		return 1
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
	d.budget.Fresh()
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

func (d *Dispatcher) place(now time.Time, w Work) []Action {
	p := pool{w.Model, w.Adapter}
	if !now.Before(w.Deadline) {
		f := fault.New(fault.DeadlinePassed, "the deadline passed before an engine was chosen")
		return []Action{d.refuse(w.Request, f)}
	}
	if q := d.queues[p]; q == nil || q.Len() == 0 {
		if s := d.choose(now, p, w); s != nil {
			return []Action{d.start(now, s, w, "room at once")}
		}
	}
	if f := d.impossible(now, p, w); f != nil {
		return []Action{d.refuse(w.Request, f)}
	}
	return d.enqueue(now, p, w)
}

// impossible finds a reason to refuse a request without waiting.
func (d *Dispatcher) impossible(now time.Time, p pool, w Work) *fault.Error {
	l := d.pool(p)
	suspect := d.suspect(now, l)
	taking, largest := 0, api.Tokens(0)
	for _, s := range l {
		if s.State(now, suspect) == api.ServerStatusStateReady {
			taking++
			largest = max(largest, s.load.Total())
		}
	}
	if taking == 0 {
		return fault.New(fault.NoServer, "no engine has the model loaded and takes work")
	}
	if !admit.Possible(w.Prompt, largest) {
		return fault.New(fault.TooLarge, "the prompt is larger than any engine's memory")
	}
	return nil
}

// tries is how many picks may find no room before all engines are looked at.
const tries = 3

func (d *Dispatcher) choose(now time.Time, p pool, w Work) *server {
	l := d.pool(p)
	if len(l) == 0 {
		return nil
	}
	c := candidates{servers: l, now: now, suspect: d.suspect(now, l), avoid: w.Avoid}
	g := d.generation(now, w)
	for range tries {
		i := d.options.Routing.Pick(d.random, w.Prefix, c)
		if d.fits(c, l[i], g, w) {
			return l[i]
		}
	}
	return d.first(c, w, g)
}

// suspect is the silence after which an engine gets no work: longer when every
// engine of the pool is silent.
func (d *Dispatcher) suspect(now time.Time, l []*server) time.Duration {
	for _, s := range l {
		if s.State(now, d.options.Suspect) == api.ServerStatusStateReady {
			return d.options.Suspect
		}
	}
	return silence * d.options.Suspect
}

// first looks at every engine from a random one on.
func (d *Dispatcher) first(c candidates, w Work, g admit.Generation) *server {
	o := d.random.IntN(len(c.servers))
	for i := range c.servers {
		if s := c.servers[(o+i)%len(c.servers)]; d.fits(c, s, g, w) {
			return s
		}
	}
	return nil
}

// shares is the part of an engine's memory that each priority may fill, so
// that a caller on the line finds room beside long background work.
var shares = [...]float64{0.98, 0.94, 0.85}

func (d *Dispatcher) fits(c candidates, s *server, g admit.Generation, w Work) bool {
	if !s.takes(c.now, c.suspect) || s.Name == c.avoid {
		return false
	}
	if !admit.Possible(w.Prompt, s.load.Total()) {
		return false
	}
	return d.options.Admission.Fits(s.load, g, shares[w.Priority.Rank()])
}

func (d *Dispatcher) generation(now time.Time, w Work) admit.Generation {
	k := length.Key{Workspace: w.Workspace, Kind: w.Kind}
	return admit.Generation{Prompt: w.Prompt, Max: w.Max, Curve: d.lengths.Curve(k), Since: now}
}

func (d *Dispatcher) start(now time.Time, s *server, w Work, reason string) Action {
	s.load.Add(w.Request, d.generation(now, w))
	d.active[w.Request] = &assigned{work: w, server: s, since: now}
	return Action{Request: w.Request, Server: s.Name, Reason: reason}
}

// waits is the part of the longest wait that each priority has: a caller on
// the line is better told at once than kept waiting for a first token.
var waits = [...]float64{0.2, 0.5, 1}

func (d *Dispatcher) enqueue(now time.Time, p pool, w Work) []Action {
	if wait := d.wait(); now.Add(wait).After(w.Deadline) {
		f := fault.New(fault.DeadlinePassed, "no engine is expected to have room before the deadline")
		return []Action{d.refuse(w.Request, f)}
	}
	q, ok := d.queues[p]
	if !ok {
		q = queue.New[Work](d.options.QueueLimit)
		d.queues[p] = q
	}
	until := now.Add(time.Duration(waits[w.Priority.Rank()] * float64(d.options.QueueWait)))
	if w.Deadline.Before(until) {
		until = w.Deadline
	}
	g := d.generation(now, w)
	out, full := q.Push(queue.Item[Work]{
		Workspace: w.Workspace, Weight: w.Weight, Priority: w.Priority,
		Cost:  float64(w.Prompt) + g.Curve.Mean(0, w.Max),
		Since: now, Until: until, Value: w,
	})
	if !full {
		return nil
	}
	f := fault.New(fault.QueueFull, "too many requests wait for an engine")
	return []Action{d.refuse(out.Value.Request, f)}
}

// offer starts waiting requests that fit on one engine.
func (d *Dispatcher) offer(now time.Time, s *server) []Action {
	var out []Action
	for _, p := range d.waitingPools() {
		q := d.queues[p]
		suspect := d.suspect(now, d.pool(p))
		if !s.has(p) || !s.takes(now, suspect) {
			continue
		}
		for q.Len() > 0 {
			w, ok := q.Pop(now, func(w Work) bool {
				c := candidates{now: now, suspect: suspect, avoid: w.Avoid}
				return d.fits(c, s, d.generation(now, w), w)
			})
			if !ok {
				break
			}
			out = append(out, d.start(now, s, w, "room after waiting"))
		}
	}
	return out
}

// waitingPools lists the pools with a queue in a fixed order.
func (d *Dispatcher) waitingPools() []pool {
	var l []pool
	for p, q := range d.queues {
		if q.Len() > 0 {
			l = append(l, p)
		}
	}
	slices.SortFunc(l, func(a, b pool) int {
		if a.Model != b.Model {
			return compare(a.Model, b.Model)
		}
		return compare(a.Adapter, b.Adapter)
	})
	return l
}

func compare[T ~string](a, b T) int {
	if a < b {
		return -1
	}
	return 1
}

func (d *Dispatcher) drainQueues(now time.Time) []Action {
	var out []Action
	for _, s := range d.order {
		out = append(out, d.offer(now, s)...)
	}
	return out
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
