package queue

import (
	"sort"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Ranks is the number of distinct ranks: rank 0 is served first, and a rank beyond
// the last counts as the last.
const Ranks = 32

// LowestFirstInterval is the number of served requests of which one is taken from the
// least urgent rank first, so that no rank starves behind interactive callers.
const LowestFirstInterval = 8

// Item is a waiting request.
type Item[T any] struct {
	Workspace api.WorkspaceName
	// Weight is the workspace's relative share of the served cost; less than 1 counts as 1.
	Weight int
	// Rank orders requests; rank 0 is served first.
	Rank int
	// Cost is what the request counts toward its workspace's share.
	Cost       float64
	EnqueuedAt time.Time
	// ExpiresAt is when Expire removes the request.
	ExpiresAt time.Time
	Value     T

	// startTag is the virtual time that orders the requests of a rank.
	startTag float64
	// seq orders requests with the same start tag by arrival.
	seq uint64
}

// Queue holds waiting requests. Within a rank it serves workspaces in proportion to
// their weights by start-time fair queueing.
type Queue[T any] struct {
	limit       int
	items       [Ranks][]*Item[T]
	finishTags  [Ranks]map[api.WorkspaceName]float64
	virtualTime [Ranks]float64
	seq         uint64
	served      int
}

// New returns an empty queue for at most limit requests.
func New[T any](limit int) *Queue[T] {
	q := &Queue[T]{limit: limit}
	for c := range q.finishTags {
		q.finishTags[c] = map[api.WorkspaceName]float64{}
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	n := 0
	for _, l := range q.items {
		n += len(l)
	}
	return n
}

// Ahead returns the number of waiting requests of a rank and of the more urgent ones.
func (q *Queue[T]) Ahead(rank int) int {
	n := 0
	for _, l := range q.items[:min(max(rank, 0), Ranks-1)+1] {
		n += len(l)
	}
	return n
}

// Push adds a request. If the queue is full, it returns the request to refuse and
// true: the last one of the least urgent rank below that of the new request, or else
// the new request itself.
func (q *Queue[T]) Push(i Item[T]) (Item[T], bool) {
	var out Item[T]
	full := q.Len() >= q.limit
	c := min(max(i.Rank, 0), Ranks-1)
	if full {
		v, ok := q.evict(c)
		if !ok {
			return i, true
		}
		out = v
	}
	q.schedule(c, &i)
	return out, full
}

// schedule gives a new request its start tag and inserts it at that position.
func (q *Queue[T]) schedule(c int, i *Item[T]) {
	w := float64(max(i.Weight, 1))
	i.startTag = max(q.virtualTime[c], q.finishTags[c][i.Workspace])
	q.finishTags[c][i.Workspace] = i.startTag + i.Cost/w
	q.seq++
	i.seq = q.seq
	q.insert(c, i)
}

func (q *Queue[T]) insert(c int, i *Item[T]) {
	l := q.items[c]
	at := sort.Search(len(l), func(n int) bool { return before(i, l[n]) })
	l = append(l, nil)
	copy(l[at+1:], l[at:])
	l[at] = i
	q.items[c] = l
}

func before[T any](a, b *Item[T]) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.seq < b.seq
}

// evict removes and returns the last request of the least urgent rank, if that is less
// urgent than rank.
func (q *Queue[T]) evict(rank int) (Item[T], bool) {
	for c := Ranks - 1; c > rank; c-- {
		if n := len(q.items[c]); n > 0 {
			i := q.items[c][n-1]
			q.items[c] = q.items[c][:n-1]
			return *i, true
		}
	}
	var z Item[T]
	return z, false
}

// lookahead is how many requests at the head of a rank are tried while the first ones
// don't fit on any engine yet.
const lookahead = 8

// bypassLimit is the wait after which a request that does not fit blocks the requests
// behind it.
const bypassLimit = 300 * time.Millisecond

// Pop removes and returns the first request that fits. A request that has waited for
// bypassLimit blocks its rank and the less urgent ones, but not the more urgent ones.
func (q *Queue[T]) Pop(now time.Time, fits func(T) bool) (T, bool) {
	if q.served%LowestFirstInterval == LowestFirstInterval-1 {
		for c := Ranks - 1; c > 0; c-- {
			if v, ok, _ := q.pop(now, c, fits); ok {
				return v, true
			}
		}
	}
	for c := range Ranks {
		v, ok, blocked := q.pop(now, c, fits)
		if ok || blocked {
			return v, ok
		}
	}
	var z T
	return z, false
}

// pop removes and returns the first request of a rank that fits. blocked reports that
// none may be served before a request that does not fit.
func (q *Queue[T]) pop(now time.Time, c int, fits func(T) bool) (v T, ok, blocked bool) {
	n, blocked := q.firstFit(now, c, fits)
	if n < 0 {
		return v, false, blocked
	}
	v = q.items[c][n].Value
	q.removeAt(c, n)
	q.served++
	return v, true, false
}

// firstFit returns the index of the first request of a rank that fits, or -1, and
// reports whether a request that does not fit has waited for bypassLimit.
func (q *Queue[T]) firstFit(now time.Time, c int, fits func(T) bool) (int, bool) {
	for n, i := range q.items[c] {
		if n >= lookahead {
			break
		}
		if fits(i.Value) {
			return n, false
		}
		if now.Sub(i.EnqueuedAt) >= bypassLimit {
			return -1, true
		}
	}
	return -1, false
}

func (q *Queue[T]) removeAt(c, n int) {
	i := q.items[c][n]
	q.virtualTime[c] = max(q.virtualTime[c], i.startTag)
	q.items[c] = append(q.items[c][:n], q.items[c][n+1:]...)
	if len(q.items[c]) == 0 {
		// No request of the rank waits, so past use of shares no longer matters.
		clear(q.finishTags[c])
		q.virtualTime[c] = 0
	}
}

// Expire removes and returns the requests that have reached their ExpiresAt.
func (q *Queue[T]) Expire(now time.Time) []T {
	return q.Remove(func(i Item[T]) bool { return !now.Before(i.ExpiresAt) })
}

// Remove removes and returns the requests that match.
func (q *Queue[T]) Remove(match func(Item[T]) bool) []T {
	var out []T
	for c := range q.items {
		kept := q.items[c][:0]
		for _, i := range q.items[c] {
			if match(*i) {
				out = append(out, i.Value)
			} else {
				kept = append(kept, i)
			}
		}
		q.items[c] = kept
	}
	return out
}
