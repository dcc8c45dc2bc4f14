package dispatch

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/admit"
	"github.com/wardridge/wardridge/internal/decide/length"
	"github.com/wardridge/wardridge/internal/decide/queue"
	"github.com/wardridge/wardridge/internal/fault"
)

// place starts, queues or refuses a request. A request waits behind those that wait
// for the same pool.
func (d *Dispatcher) place(now time.Time, w Work) []Action {
	p := pool{w.Model, w.Adapter}
	if !now.Before(w.Deadline) {
		f := fault.New(fault.DeadlinePassed, "the deadline passed before an engine was chosen")
		return []Action{d.refuse(w.Request, f)}
	}
	if q := d.queues[p]; q == nil || q.Len() == 0 {
		if s := d.choose(now, p, w); s != nil {
			return []Action{d.start(now, s, w, "capacity available")}
		}
	}
	if f := d.refusalReason(now, p, w); f != nil {
		return []Action{d.refuse(w.Request, f)}
	}
	return d.enqueue(now, p, w)
}

// refusalReason returns why a request can't be served by waiting either, or nil.
func (d *Dispatcher) refusalReason(now time.Time, p pool, w Work) *fault.Error {
	l := d.pool(p)
	suspectAfter := d.suspectAfter(now, l)
	ready, largest := 0, api.Tokens(0)
	for _, s := range l {
		if s.State(now, suspectAfter) == api.ServerStatusStateReady {
			ready++
			largest = max(largest, s.load.Total())
		}
	}
	if ready == 0 {
		return fault.New(fault.NoServer, "no engine has the model loaded and accepts work")
	}
	if !admit.FitsEmptyEngine(w.PromptTokens, largest) {
		return fault.New(fault.TooLarge, "the prompt is larger than any engine's memory")
	}
	return nil
}

// maxPicks is how many engines picked by the routing policy are tried before all
// engines of the pool are.
const maxPicks = 3

// choose returns an engine of the pool with capacity for the request, or nil.
func (d *Dispatcher) choose(now time.Time, p pool, w Work) *server {
	l := d.pool(p)
	if len(l) == 0 {
		return nil
	}
	c := candidates{servers: l, now: now, suspectAfter: d.suspectAfter(now, l), avoid: w.Avoid}
	g := d.generation(now, w)
	for range maxPicks {
		i := d.options.Routing.Pick(d.random, w.Prefix, c)
		if d.fits(c, l[i], g, w) {
			return l[i]
		}
	}
	return d.firstFit(c, w, g)
}

// suspectAfter returns the silence after which an engine of the list gets no work. It is
// longer when all of them are silent.
func (d *Dispatcher) suspectAfter(now time.Time, l []*server) time.Duration {
	for _, s := range l {
		if s.State(now, d.options.SuspectAfter) == api.ServerStatusStateReady {
			return d.options.SuspectAfter
		}
	}
	return silenceFactor * d.options.SuspectAfter
}

// firstFit returns the first engine with capacity, starting from a random one, or nil.
func (d *Dispatcher) firstFit(c candidates, w Work, g admit.Generation) *server {
	o := d.random.IntN(len(c.servers))
	for i := range c.servers {
		if s := c.servers[(o+i)%len(c.servers)]; d.fits(c, s, g, w) {
			return s
		}
	}
	return nil
}

// memoryShares is the share of an engine's memory that each priority, by rank, may use.
// The limits leave memory for interactive requests beside long background work; the
// most urgent priority may use the most.
var memoryShares = [...]float64{0.98, 0.94, 0.85}

// fits reports whether an engine accepts work and has capacity for the request.
func (d *Dispatcher) fits(c candidates, s *server, g admit.Generation, w Work) bool {
	if !s.acceptsWork(c.now, c.suspectAfter) || s.Name == c.avoid {
		return false
	}
	if !admit.FitsEmptyEngine(w.PromptTokens, s.load.Total()) {
		return false
	}
	return d.options.Admission.Fits(s.load, g, memoryShares[w.Priority.Rank()])
}

// generation describes the request to the admission policy.
func (d *Dispatcher) generation(now time.Time, w Work) admit.Generation {
	k := length.Key{Workspace: w.Workspace, Kind: w.Kind}
	return admit.Generation{PromptTokens: w.PromptTokens, MaxTokens: w.MaxTokens, Curve: d.lengths.Curve(k), SentAt: now}
}

// start assigns the request to an engine.
func (d *Dispatcher) start(now time.Time, s *server, w Work, reason string) Action {
	s.load.Add(w.Request, d.generation(now, w))
	d.active[w.Request] = &assigned{work: w, server: s, since: now}
	return Action{Request: w.Request, Server: s.Name, Reason: reason}
}

// waitShares is the share of MaxQueueWait that a request of each priority, by rank, may
// wait: an early refusal serves an interactive caller better than a long wait for the
// first token.
var waitShares = [...]float64{0.2, 0.5, 1}

// enqueue queues a request, or refuses it if its deadline leaves no time to wait. If the
// queue is full, it refuses the request that the queue evicts.
func (d *Dispatcher) enqueue(now time.Time, p pool, w Work) []Action {
	if wait := d.expectedWait(); now.Add(wait).After(w.Deadline) {
		f := fault.New(fault.DeadlinePassed, "no engine is expected to have capacity before the deadline")
		return []Action{d.refuse(w.Request, f)}
	}
	q, ok := d.queues[p]
	if !ok {
		q = queue.New[Work](d.options.QueueLimit)
		d.queues[p] = q
	}
	until := now.Add(time.Duration(waitShares[w.Priority.Rank()] * float64(d.options.MaxQueueWait)))
	if w.Deadline.Before(until) {
		until = w.Deadline
	}
	g := d.generation(now, w)
	out, full := q.Push(queue.Item[Work]{
		Workspace: w.Workspace, Weight: w.Weight, Rank: w.Priority.Rank(),
		Cost:       float64(w.PromptTokens) + g.Curve.Mean(0, w.MaxTokens),
		EnqueuedAt: now, ExpiresAt: until, Value: w,
	})
	if !full {
		return nil
	}
	f := fault.New(fault.QueueFull, "too many requests wait for an engine")
	return []Action{d.refuse(out.Value.Request, f)}
}
