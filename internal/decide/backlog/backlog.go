package backlog

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/queue"
)

// maxWaiting bounds the requests that wait in one place, whatever their forecasts
// say: each holds its body in memory, here or at the entry VM that took it.
const maxWaiting = 512

// maxWaitShare is the part of its aim that a request may wait. Callers ask to be
// refused within an eighth of it; longer waits hold more in vain and serve no
// more in time.
const maxWaitShare = 0.1

// MaxWait is how long a request with an aim may wait.
func MaxWait(aim time.Duration) time.Duration {
	return time.Duration(maxWaitShare * float64(aim))
}

// Request is a request that found no room.
type Request struct {
	Workspace api.WorkspaceName
	// Rank orders requests; 0 goes first.
	Rank int
	// Cost is what the request takes of a server, in any unit: workspaces share
	// by it.
	Cost float64
	// LatencyTarget is the time in which its answer is good.
	LatencyTarget time.Duration
	// Late is set for a request that can't be answered in its aim any more, since
	// it was refused before.
	Late bool
}

// Forecast is what decided whether a request may wait.
type Forecast struct {
	// Waiting is the number of requests that waited already.
	Waiting int
	// Wait is the time after which the request would be let in, MaxWait the longest
	// that it may be.
	Wait, MaxWait time.Duration
	// LateInOverload is set for a late request while others are refused that could be in
	// time.
	LateInOverload bool
}

// MayWait reports whether the request may wait.
func (f Forecast) MayWait() bool {
	return !f.LateInOverload && f.Wait <= f.MaxWait
}

// Backlog holds the requests of one service that wait for a server.
type Backlog[T any] struct {
	queue    *queue.Queue[T]
	interval admissionInterval
	overload overload
	// maxWaits is the longest that a request of each rank was lately allowed.
	maxWaits [queue.Ranks]time.Duration
	// timeouts is the time that callers allow, by route.
	timeouts map[string]*typicalTimeout
	random   *rand.Rand
}

// New makes an empty backlog that draws from a source.
func New[T any](s rand.Source) *Backlog[T] {
	return &Backlog[T]{queue: queue.New[T](maxWaiting), timeouts: map[string]*typicalTimeout{}, random: rand.New(s)}
}

// Len counts the requests that wait.
func (b *Backlog[T]) Len() int {
	return b.queue.Len()
}

// Late takes the time that a caller of a route allows, and reports whether it
// seems to have spent its aim in a try before.
func (b *Backlog[T]) Late(route string, allowed, aim time.Duration) bool {
	u, ok := b.timeouts[route]
	if !ok {
		u = &typicalTimeout{}
		b.timeouts[route] = u
	}
	return u.observe(allowed) >= aim
}

// RetainRoutes forgets what was learned of routes that are no longer configured.
func (b *Backlog[T]) RetainRoutes(configured func(route string) bool) {
	maps.DeleteFunc(b.timeouts, func(r string, _ *typicalTimeout) bool { return !configured(r) })
}

// MustWait reports whether a new request has to wait for others: some of its rank
// or a better one wait already, or it is late and others were just refused. An
// engine that serves a late request in an overload makes another one late, until
// hardly any is in time.
func (b *Backlog[T]) MustWait(now time.Time, r Request) bool {
	return b.lateInOverload(now, r) || b.queue.Ahead(r.rank()) > 0
}

func (b *Backlog[T]) lateInOverload(now time.Time, r Request) bool {
	return r.Late && b.overload.recent(now)
}

// Forecast tells how long a request would wait, and remembers how long it may.
// All ranks are refused by the same backlog, so that in a lasting overload each
// gets the same share of what it asks for; ranks only order those that wait. A
// bound by rank would let the most urgent one take everything.
func (b *Backlog[T]) Forecast(now time.Time, r Request) Forecast {
	rank := r.rank()
	b.maxWaits[rank] = MaxWait(r.LatencyTarget)
	f := Forecast{Waiting: b.Len(), MaxWait: b.maxWaits[rank], LateInOverload: b.lateInOverload(now, r)}
	for _, p := range b.maxWaits[rank:] {
		// A less urgent request that may wait longer must not be served more often.
		f.MaxWait = max(f.MaxWait, p)
	}
	f.Wait = time.Duration(f.Waiting+1) * b.interval.expected(now, f.Waiting > 0)
	return f
}

// Push lets a request wait. Where too many wait it gives the one that has to be
// refused in its place.
func (b *Backlog[T]) Push(now time.Time, r Request, v T) (T, bool) {
	if b.Len() == 0 {
		b.interval.start(now)
	}
	out, full := b.queue.Push(queue.Item[T]{
		Workspace: r.Workspace, Weight: 1, Rank: r.rank(), Cost: r.Cost, Since: now, Value: v,
	})
	return out.Value, full
}

// Pop takes the first request that fits.
func (b *Backlog[T]) Pop(now time.Time, fits func(T) bool) (T, bool) {
	v, ok := b.queue.Pop(now, fits)
	if ok {
		b.interval.observe(now)
	}
	return v, ok
}

// Remove takes out the requests that match.
func (b *Backlog[T]) Remove(match func(T) bool) {
	b.queue.Remove(func(i queue.Item[T]) bool { return match(i.Value) })
}

const (
	// minRetryShare and returnTo bound the part of its remaining time after which a
	// refused caller is told to come back. It has missed its aim, so that coming
	// back early gains it nothing, while one that comes back into the same overload
	// is refused again and adds to it; two thirds of its time are left for the
	// answer. Callers are spread between the two.
	minRetryShare = 0.30
	maxRetryShare = 0.33
)

// Refuse notes a refusal and tells when its caller, which has so much time left,
// may come back. An overload of unknown length is expected to last as long again
// as it has lasted. It is told by requests that could have been in time: late
// ones that are refused for it must not make it last.
func (b *Backlog[T]) Refuse(now time.Time, late bool, left time.Duration) time.Duration {
	if !late {
		b.overload.observe(now)
	}
	share := minRetryShare + (maxRetryShare-minRetryShare)*b.random.Float64()
	return max(b.overload.duration(now), time.Duration(share*float64(left)))
}
