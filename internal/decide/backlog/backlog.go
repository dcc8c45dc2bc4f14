package backlog

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/queue"
)

// maxWaiting is the largest number of requests in one backlog, whatever their
// forecasts say: the body of each stays in memory, on this entry VM or on the one
// that received the request.
const maxWaiting = 512

// maxWaitShare is the share of its latency target that a request may wait. Callers
// expect a refusal within an eighth of the target. A longer wait keeps more requests
// that are refused in the end and serves no more of them within their targets.
const maxWaitShare = 0.1

// MaxWait returns how long a request with the given latency target may wait.
func MaxWait(target time.Duration) time.Duration {
	return time.Duration(maxWaitShare * float64(target))
}

// Request describes a request that no server has capacity for at once.
type Request struct {
	Workspace api.WorkspaceName
	// Rank orders requests; rank 0 is admitted first.
	Rank int
	// Cost is the server capacity that the request uses, in a unit that all requests
	// share: workspaces get fair shares of the total cost.
	Cost float64
	// LatencyTarget is the time within which the caller wants the answer.
	LatencyTarget time.Duration
	// Late is set for a request that was refused before and can no longer be
	// answered within its latency target.
	Late bool
}

// Forecast holds the figures that decide whether a request may wait.
type Forecast struct {
	// Waiting is the number of requests that are waiting already.
	Waiting int
	// Wait is the expected time until the request is admitted, MaxWait the longest
	// time that it may wait.
	Wait, MaxWait time.Duration
	// LateInOverload is set for a late request while requests that could still meet
	// their targets are refused.
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
	// maxWaits is the longest wait allowed to the latest request of each rank.
	maxWaits [queue.Ranks]time.Duration
	// timeouts holds the timeout that callers usually set, by route.
	timeouts map[string]*typicalTimeout
	random   *rand.Rand
}

// New returns an empty backlog that gets its random numbers from s.
func New[T any](s rand.Source) *Backlog[T] {
	return &Backlog[T]{queue: queue.New[T](maxWaiting), timeouts: map[string]*typicalTimeout{}, random: rand.New(s)}
}

// Len returns the number of waiting requests.
func (b *Backlog[T]) Len() int {
	return b.queue.Len()
}

// Late records the timeout of a request to a route and reports whether the request
// seems to be a retry whose earlier attempts used up its latency target.
func (b *Backlog[T]) Late(route string, timeout, target time.Duration) bool {
	u, ok := b.timeouts[route]
	if !ok {
		u = &typicalTimeout{}
		b.timeouts[route] = u
	}
	return u.observe(timeout) >= target
}

// RetainRoutes forgets the timeouts of routes that are no longer configured.
func (b *Backlog[T]) RetainRoutes(configured func(route string) bool) {
	maps.DeleteFunc(b.timeouts, func(r string, _ *typicalTimeout) bool { return !configured(r) })
}

// MustWait reports whether a new request can't be placed at once: requests of its
// rank or a more urgent one are waiting, or it is late and others were just refused.
// An engine that serves a late request during an overload makes another request late,
// until hardly any meets its target.
func (b *Backlog[T]) MustWait(now time.Time, r Request) bool {
	return b.lateInOverload(now, r) || b.queue.Ahead(r.rank()) > 0
}

func (b *Backlog[T]) lateInOverload(now time.Time, r Request) bool {
	return r.Late && b.overload.recent(now)
}

// Forecast estimates how long a request would wait, and records how long it may.
// The estimate counts the requests of all ranks, so that in a lasting overload the
// same share of each rank is served; ranks only order the requests that wait. An
// estimate for each rank would let the most urgent rank take all capacity.
func (b *Backlog[T]) Forecast(now time.Time, r Request) Forecast {
	rank := r.rank()
	b.maxWaits[rank] = MaxWait(r.LatencyTarget)
	f := Forecast{Waiting: b.Len(), MaxWait: b.maxWaits[rank], LateInOverload: b.lateInOverload(now, r)}
	for _, p := range b.maxWaits[rank:] {
		// Otherwise a less urgent rank with a longer limit would be served more often.
		f.MaxWait = max(f.MaxWait, p)
	}
	f.Wait = time.Duration(f.Waiting+1) * b.interval.expected(now, f.Waiting > 0)
	return f
}

// Push adds a request to the backlog. If the backlog is full, it returns the
// request to refuse and true.
func (b *Backlog[T]) Push(now time.Time, r Request, v T) (T, bool) {
	if b.Len() == 0 {
		b.interval.start(now)
	}
	out, full := b.queue.Push(queue.Item[T]{
		Workspace: r.Workspace, Weight: 1, Rank: r.rank(), Cost: r.Cost, EnqueuedAt: now, Value: v,
	})
	return out.Value, full
}

// Pop removes and returns the first request that fits.
func (b *Backlog[T]) Pop(now time.Time, fits func(T) bool) (T, bool) {
	v, ok := b.queue.Pop(now, fits)
	if ok {
		b.interval.observe(now)
	}
	return v, ok
}

// Remove removes the requests that match.
func (b *Backlog[T]) Remove(match func(T) bool) {
	b.queue.Remove(func(i queue.Item[T]) bool { return match(i.Value) })
}

const (
	// minRetryShare and maxRetryShare bound the share of its remaining time that a
	// refused caller should wait before it retries. The caller has missed its latency
	// target, so an early retry gains nothing, and a retry during the same overload is
	// refused again and adds to it. Two thirds of the time are left for the answer.
	// Retry times are spread evenly between the bounds.
	minRetryShare = 0.30
	maxRetryShare = 0.33
)

// Refuse records a refusal and returns the time after which its caller, which gives
// up after left, should retry. An overload is expected to last as long again as it
// has lasted so far. Refusals of late requests don't count: the overload causes them,
// so counting them would prolong it.
func (b *Backlog[T]) Refuse(now time.Time, late bool, left time.Duration) time.Duration {
	if !late {
		b.overload.observe(now)
	}
	share := minRetryShare + (maxRetryShare-minRetryShare)*b.random.Float64()
	return max(b.overload.duration(now), time.Duration(share*float64(left)))
}
