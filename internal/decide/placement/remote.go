package placement

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// poolReportTTL is how long the word on a failure domain's engines counts: a few
// rounds of the exchange between hubs.
const poolReportTTL = 3 * time.Second

// poolKey names the engines of one service in one failure domain.
type poolKey struct {
	service api.ServiceName
	domain  api.DomainName
}

// poolReport is the newest word on some engines.
type poolReport struct {
	api.PoolLoad
	at time.Time
}

// RemotePools keeps what the allocators of other failure domains tell of their
// engines: sums, which hardly change between two rounds of the exchange, where
// the load of a single engine does.
type RemotePools struct {
	pools map[poolKey]poolReport
}

// NewRemotePools makes a record of no other failure domain.
func NewRemotePools() *RemotePools {
	return &RemotePools{pools: map[poolKey]poolReport{}}
}

// Update takes the word of a failure domain's allocator.
func (d *RemotePools) Update(now time.Time, n api.DomainName, l map[api.ServiceName]api.PoolLoad) {
	for s, x := range l {
		d.pools[poolKey{s, n}] = poolReport{PoolLoad: x, at: now}
	}
}

// HasAllocator reports whether a failure domain's engines are allocated there: its
// allocator was heard lately.
func (d *RemotePools) HasAllocator(now time.Time, s api.ServiceName, n api.DomainName) bool {
	x, ok := d.pools[poolKey{s, n}]
	return ok && now.Sub(x.at) <= poolReportTTL
}

// LessLoaded gives the failure domain that a need is better sent to than the best
// engine at home, or than a wait for one where there is no choice at home: one
// whose engines are less loaded on average.
func (d *RemotePools) LessLoaded(now time.Time, s api.ServiceName, memory api.Tokens, n Requirements, home *Choice) (api.DomainName, bool) {
	bound := maxMemoryShare + fullUnreadScore
	if home != nil {
		bound = home.Score
	}
	return d.bestDomain(now, s, bound, func(x poolReport) (float64, bool) { return remotePenalty + x.meanScore(memory, n), x.Waiting == 0 })
}

// Fallback gives the failure domain that a need is sent to where there is no engine at
// home at all, as while operators have closed it: the one with the least load, and
// with the fewest requests that wait for each engine.
func (d *RemotePools) Fallback(now time.Time, s api.ServiceName, memory api.Tokens, n Requirements) (api.DomainName, bool) {
	return d.bestDomain(now, s, math.Inf(1), func(x poolReport) (float64, bool) {
		return x.meanScore(memory, n) + float64(x.Waiting)/float64(x.Engines), true
	})
}

// bestDomain gives the failure domain with engines of a service that is rated below a
// bound and best; a rating may leave a domain out.
func (d *RemotePools) bestDomain(now time.Time, s api.ServiceName, bound float64, rate func(x poolReport) (float64, bool)) (api.DomainName, bool) {
	best, found := api.DomainName(""), false
	for k, x := range d.pools {
		if k.service != s || x.Engines == 0 || now.Sub(x.at) > poolReportTTL {
			continue
		}
		m, ok := rate(x)
		if !ok {
			continue
		}
		if m < bound || m == bound && found && k.domain < best {
			best, found, bound = k.domain, true, m
		}
	}
	return best, found
}

// fullUnreadScore is the score of the prompts on average before each engine from
// which on another failure domain is as good as full.
const fullUnreadScore = 1.0

// meanScore is the score that an engine of some has on average for a need.
func (x poolReport) meanScore(memory api.Tokens, n Requirements) float64 {
	e := float64(x.Engines)
	used := (float64(x.Tokens)/e + float64(n.Tokens)) / float64(memory)
	return used + float64(x.Unread)/e/unreadScale
}

// AddForwarded counts a need that was sent to a failure domain until its allocator is
// heard again.
func (d *RemotePools) AddForwarded(s api.ServiceName, n api.DomainName, x Requirements) {
	k := poolKey{s, n}
	if w, ok := d.pools[k]; ok {
		w.Tokens += x.Tokens
		w.Unread += x.Unread
		d.pools[k] = w
	}
}

// SumLoads adds up the loads of the engines of a pool that take new requests now.
func (p *Picker) SumLoads(now time.Time, l Pool) api.PoolLoad {
	var x api.PoolLoad
	for _, m := range l.Members {
		if m.State == roster.Ready && !m.Closed && p.withinLimit(now, l, m) {
			t := p.EngineLoads.Total(m.Name)
			x.Engines++
			x.Tokens += t.Tokens
			x.Unread += t.Unread
		}
	}
	return x
}
