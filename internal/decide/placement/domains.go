package placement

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// poolTime is how long the word on a failure domain's engines counts: a few
// rounds of the exchange between hubs.
const poolTime = 3 * time.Second

// poolKey names the engines of one service in one failure domain.
type poolKey struct {
	service api.ServiceName
	domain  api.DomainName
}

// poolWord is the newest word on some engines.
type poolWord struct {
	api.PoolLoad
	at time.Time
}

// Domains keeps what the allocators of other failure domains tell of their
// engines: sums, which hardly change between two rounds of the exchange, where
// the load of a single engine does.
type Domains struct {
	pools map[poolKey]poolWord
}

// NewDomains makes a record of no other failure domain.
func NewDomains() *Domains {
	return &Domains{pools: map[poolKey]poolWord{}}
}

// Update takes the word of a failure domain's allocator.
func (d *Domains) Update(now time.Time, n api.DomainName, l map[api.ServiceName]api.PoolLoad) {
	for s, x := range l {
		d.pools[poolKey{s, n}] = poolWord{PoolLoad: x, at: now}
	}
}

// Known reports whether a failure domain's engines are allocated there: its
// allocator was heard lately.
func (d *Domains) Known(now time.Time, s api.ServiceName, n api.DomainName) bool {
	x, ok := d.pools[poolKey{s, n}]
	return ok && now.Sub(x.at) <= poolTime
}

// Better gives the failure domain that a need is better sent to than the best
// engine at home, or than a wait for one where there is no choice at home: one
// whose engines are less loaded on average.
func (d *Domains) Better(now time.Time, s api.ServiceName, memory api.Tokens, n Need, home *Choice) (api.DomainName, bool) {
	least := memoryBound + unreadMost
	if home != nil {
		least = home.Score
	}
	return d.least(now, s, least, func(x poolWord) (float64, bool) { return away + x.mean(memory, n), x.Waiting == 0 })
}

// Instead gives the failure domain that a need is sent to where there is no engine at
// home at all, as while operators have closed it: the one with the least load, and
// with the fewest requests that wait for each engine.
func (d *Domains) Instead(now time.Time, s api.ServiceName, memory api.Tokens, n Need) (api.DomainName, bool) {
	return d.least(now, s, math.Inf(1), func(x poolWord) (float64, bool) {
		return x.mean(memory, n) + float64(x.Waiting)/float64(x.Engines), true
	})
}

// least gives the failure domain with engines of a service that is rated below a
// bound and best; a rating may leave a domain out.
func (d *Domains) least(now time.Time, s api.ServiceName, least float64, rate func(x poolWord) (float64, bool)) (api.DomainName, bool) {
	best, found := api.DomainName(""), false
	for k, x := range d.pools {
		if k.service != s || x.Engines == 0 || now.Sub(x.at) > poolTime {
			continue
		}
		m, ok := rate(x)
		if !ok {
			continue
		}
		if m < least || m == least && found && k.domain < best {
			best, found, least = k.domain, true, m
		}
	}
	return best, found
}

// unreadMost is the score of the prompts on average before each engine from
// which on another failure domain is as good as full.
const unreadMost = 1.0

// mean is the score that an engine of some has on average for a need.
func (x poolWord) mean(memory api.Tokens, n Need) float64 {
	e := float64(x.Engines)
	used := (float64(x.Tokens)/e + float64(n.Tokens)) / float64(memory)
	return used + float64(x.Unread)/e/unreadScale
}

// Sent counts a need that was sent to a failure domain until its allocator is
// heard again.
func (d *Domains) Sent(s api.ServiceName, n api.DomainName, x Need) {
	k := poolKey{s, n}
	if w, ok := d.pools[k]; ok {
		w.Tokens += x.Tokens
		w.Unread += x.Unread
		d.pools[k] = w
	}
}

// Sum adds up the loads of the engines of a pool that take new requests now.
func (p *Picker) Sum(now time.Time, l Pool) api.PoolLoad {
	var x api.PoolLoad
	for _, m := range l.Members {
		if m.State == roster.Ready && !m.Closed && p.within(now, l, m) {
			t := p.Engines.Total(m.Name)
			x.Engines++
			x.Tokens += t.Tokens
			x.Unread += t.Unread
		}
	}
	return x
}
