package queue

import (
	"sort"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Ranks is the number of ranks that are told apart; 0 goes first, and what is
// beyond the last counts as the last.
const Ranks = 32

// LowestFirstInterval is how often a rank's turn goes to the lowest first: one request in so
// many, so that none starves behind callers on the line.
const LowestFirstInterval = 8

// Item is one request that waits.
type Item[T any] struct {
	Workspace api.WorkspaceName
	Weight    int
	// Rank orders requests; 0 goes first.
	Rank       int
	Cost       float64
	EnqueuedAt time.Time
	ExpiresAt  time.Time
	Value      T

	startTag float64
	seq      uint64
}

// Queue holds waiting requests; within a rank it serves workspaces by
// start-time fair queueing on their weights.
type Queue[T any] struct {
	limit       int
	items       [Ranks][]*Item[T]
	finishTags  [Ranks]map[api.WorkspaceName]float64
	virtualTime [Ranks]float64
	seq         uint64
	served      int
}

// New makes a queue for at most limit requests.
func New[T any](limit int) *Queue[T] {
	q := &Queue[T]{limit: limit}
	for c := range q.finishTags {
		q.finishTags[c] = map[api.WorkspaceName]float64{}
	}
	return q
}

// Len counts the requests that wait.
func (q *Queue[T]) Len() int {
	n := 0
	for _, l := range q.items {
		n += len(l)
	}
	return n
}

// Ahead counts the requests that go before a new one of a rank.
func (q *Queue[T]) Ahead(rank int) int {
	n := 0
	for _, l := range q.items[:min(max(rank, 0), Ranks-1)+1] {
		n += len(l)
	}
	return n
}

// Push adds a request. When the queue is full it returns the request that has
// to be refused: the latest of a lower rank, or else the new one itself.
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

// schedule inserts a new request at its workspace's turn.
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

// evict takes the latest request of the lowest rank below one.
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

// lookahead is how many requests of a rank may be tried behind one that
// does not fit anywhere yet.
const lookahead = 8

// bypassLimit is the wait after which nothing passes a request that does not fit.
const bypassLimit = 300 * time.Millisecond

// Pop takes the first request that fits. A request that has waited long is not
// passed by others of its rank or a lower one; a higher one passes it.
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

// pop takes the first request of a rank that fits.
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

// firstFit finds the firstFit request of a rank that fits, and reports whether
// one that does not has waited so long that nothing may pass it.
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
		// Nothing waits, so no workspace is ahead of its share any more.
		clear(q.finishTags[c])
		q.virtualTime[c] = 0
	}
}

// Expire takes out every request whose time to wait is over.
func (q *Queue[T]) Expire(now time.Time) []T {
	return q.Remove(func(i Item[T]) bool { return !now.Before(i.ExpiresAt) })
}

// Remove takes out every request that matches.
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
