package repeat

import (
	"hash/maphash"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Earlier is what is known of earlier requests with an ID.
type Earlier struct {
	// Age is the time since the last of them arrived.
	Age time.Duration
	// UnderWay counts those that have not ended.
	UnderWay int
}

// record holds the requests with one ID.
type record struct {
	arrived  time.Time
	underWay int
}

// hash is the hash of an ID. Callers choose IDs, which may be long.
type hash uint64

// maxTrim is how many IDs one request may drop, so that it never goes through all of them.
const maxTrim = 4

// Tracker holds the IDs of the last requests, up to a limit, and of those under way. It is not safe for
// concurrent use.
type Tracker struct {
	limit   int
	seed    maphash.Seed
	records map[hash]*record
	// order holds the IDs in the order in which they arrived first.
	order []hash
}

// New creates a tracker that holds a limited number of requests that have ended.
func New(limit int) *Tracker {
	return &Tracker{limit: limit, seed: maphash.MakeSeed(), records: map[hash]*record{}}
}

func (t *Tracker) hash(id api.RequestID) hash {
	return hash(maphash.String(t.seed, string(id)))
}

// Begin records a request, and returns what is known of earlier ones with its ID; it reports false if there
// are none.
func (t *Tracker) Begin(now time.Time, id api.RequestID) (Earlier, bool) {
	h := t.hash(id)
	if r := t.records[h]; r != nil {
		e := Earlier{Age: now.Sub(r.arrived), UnderWay: r.underWay}
		r.arrived = now
		r.underWay++
		return e, true
	}
	t.records[h] = &record{arrived: now, underWay: 1}
	t.order = append(t.order, h)
	t.trim()
	return Earlier{}, false
}

// End records that a request has ended.
func (t *Tracker) End(id api.RequestID) {
	if r := t.records[t.hash(id)]; r != nil {
		r.underWay--
	}
}

// trim drops the oldest IDs over the limit. Those of requests under way move to the end of the order.
func (t *Tracker) trim() {
	for range maxTrim {
		if len(t.order) <= t.limit {
			return
		}
		h := t.order[0]
		t.order = t.order[1:]
		if t.records[h].underWay > 0 {
			t.order = append(t.order, h)
			continue
		}
		delete(t.records, h)
	}
}
