package placement

import (
	"math"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// poolReportTTL is how long a report on another failure domain's engines is used: a few
// rounds of the exchange between hubs.
const poolReportTTL = 3 * time.Second

// poolKey identifies the engines of one service in one failure domain.
type poolKey struct {
	service api.ServiceName
	domain  api.DomainName
}

// poolReport is the newest report on the engines of one service in one failure domain.
type poolReport struct {
	api.PoolLoad
	at time.Time
}

// RemotePools holds the engine loads that the allocators of other failure domains report.
// It holds sums per service: unlike the load of a single engine, they hardly change between
// two rounds of the exchange.
type RemotePools struct {
	pools map[poolKey]poolReport
}

// NewRemotePools returns an empty record.
func NewRemotePools() *RemotePools {
	return &RemotePools{pools: map[poolKey]poolReport{}}
}

// Update records the report of a failure domain's allocator.
func (p *RemotePools) Update(now time.Time, n api.DomainName, l map[api.ServiceName]api.PoolLoad) {
	for s, x := range l {
		p.pools[poolKey{s, n}] = poolReport{PoolLoad: x, at: now}
	}
}

// HasAllocator reports whether the engines of a service in a failure domain are allocated
// there: its allocator reported within poolReportTTL.
func (p *RemotePools) HasAllocator(now time.Time, s api.ServiceName, n api.DomainName) bool {
	x, ok := p.pools[poolKey{s, n}]
	return ok && now.Sub(x.at) <= poolReportTTL
}

// LessLoaded returns another failure domain whose engines have a lower mean score than the
// best local engine, or, if there is no local choice (local is nil), a domain that is
// better than waiting for a local engine. Domains where requests wait, or that are not allowed,
// are left out.
func (p *RemotePools) LessLoaded(now time.Time, s api.ServiceName, memory api.Tokens, n Requirements, local *Choice, allowed func(n api.DomainName) bool) (api.DomainName, bool) {
	bound := maxMemoryShare + fullUnreadScore
	if local != nil {
		bound = local.Score
	}
	return p.bestDomain(now, s, bound, func(x poolReport) (float64, bool) { return remotePenalty + x.score(memory, n), x.Waiting == 0 }, allowed)
}

// Fallback returns the failure domain for a request that has no local engine at all, for
// example while operators have closed the local domain: the allowed one with the lowest load, where
// each waiting request per engine adds one to the score.
func (p *RemotePools) Fallback(now time.Time, s api.ServiceName, memory api.Tokens, n Requirements, allowed func(n api.DomainName) bool) (api.DomainName, bool) {
	return p.bestDomain(now, s, math.Inf(1), func(x poolReport) (float64, bool) {
		return x.score(memory, n) + float64(x.Waiting)/float64(x.Engines), true
	}, allowed)
}

// RateWait is the time that a request waits for one of several engines which all have rate limits, with a
// sum in requests per second, behind others that wait already. It reports false without limits.
func RateWait(waiting int, rate float64) (time.Duration, bool) {
	if rate <= 0 {
		return 0, false
	}
	return time.Duration(float64(waiting+1) / rate * float64(time.Second)), true
}

// rateWait is RateWait in the pool's domain, where requests have been served since the report.
func (x poolReport) rateWait(now time.Time) (time.Duration, bool) {
	served := int(x.Rate * now.Sub(x.at).Seconds())
	return RateWait(max(0, x.Waiting-served), x.Rate)
}

// ShorterWait returns another allowed failure domain whose engines have rate limits and where a request
// waits for a shorter time than wait.
func (p *RemotePools) ShorterWait(now time.Time, s api.ServiceName, wait time.Duration, allowed func(n api.DomainName) bool) (api.DomainName, bool) {
	best, found := api.DomainName(""), false
	for k, x := range p.pools {
		if k.service != s || now.Sub(x.at) > poolReportTTL || !allowed(k.domain) {
			continue
		}
		if w, ok := x.rateWait(now); ok && (w < wait || w == wait && found && k.domain < best) {
			best, found, wait = k.domain, true, w
		}
	}
	return best, found
}

// AddWaiting adds a request that waits in a failure domain to those known there, until the next report of
// its allocator replaces them.
func (p *RemotePools) AddWaiting(s api.ServiceName, n api.DomainName) {
	k := poolKey{s, n}
	if w, ok := p.pools[k]; ok {
		w.Waiting++
		p.pools[k] = w
	}
}

// bestDomain returns the failure domain with the lowest rating below bound among those that
// have engines of the service; rate returns false to leave a domain out.
func (p *RemotePools) bestDomain(now time.Time, s api.ServiceName, bound float64, rate func(x poolReport) (float64, bool), allowed func(n api.DomainName) bool) (api.DomainName, bool) {
	best, found := api.DomainName(""), false
	for k, x := range p.pools {
		if k.service != s || x.Engines == 0 || now.Sub(x.at) > poolReportTTL || !allowed(k.domain) {
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

// fullUnreadScore is the mean score of the unread prompts per engine at which another
// failure domain counts as full.
const fullUnreadScore = 1.0

const (
	// minResilientFree is the share of the memory of another domain's resilient engines that
	// has to be free after a new long answer for it to be sent there for their sake: several
	// requests are forwarded before the domain's next report.
	minResilientFree = 0.35
	// noResilientPenalty is added for a mixed domain whose resilient engines have no room. It
	// is the penalty of a decode engine whose streams are on time.
	noResilientPenalty = 1.0
)

// score returns the score for a request in the pool's domain: that of its resilient engines
// for a new long answer in a mixed domain, and otherwise the mean over all engines.
func (x poolReport) score(memory api.Tokens, n Requirements) float64 {
	switch {
	case !x.Mixed || !n.newLong():
		return meanScore(x.Engines, x.Tokens, x.Unread, memory, n)
	case x.hasResilientRoom(memory, n):
		return meanScore(x.Resilient, x.ResilientTokens, x.ResilientUnread, memory, n)
	default:
		return meanScore(x.Engines, x.Tokens, x.Unread, memory, n) + noResilientPenalty
	}
}

// hasResilientRoom reports whether there are resilient engines that have minResilientFree of
// their memory free after a request.
func (x poolReport) hasResilientRoom(memory api.Tokens, n Requirements) bool {
	return x.Resilient > 0 && float64(x.ResilientTokens+n.Tokens) <= (1-minResilientFree)*float64(x.Resilient)*float64(memory)
}

// meanScore returns the score that one of several engines with a total load has on average
// for a request.
func meanScore(engines int, tokens, unread, memory api.Tokens, n Requirements) float64 {
	e := float64(engines)
	used := (float64(tokens)/e + float64(n.Tokens)) / float64(memory)
	return used + float64(unread)/e/unreadScale
}

// AddForwarded adds a request that was forwarded to a failure domain to the load known
// there, until the next report of its allocator replaces it.
func (p *RemotePools) AddForwarded(s api.ServiceName, n api.DomainName, x Requirements) {
	k := poolKey{s, n}
	if w, ok := p.pools[k]; ok {
		w.Tokens += x.Tokens
		w.Unread += x.Unread
		if w.Mixed && w.Resilient > 0 && x.newLong() {
			w.ResilientTokens += x.Tokens
			w.ResilientUnread += x.Unread
		}
		p.pools[k] = w
	}
}

// SumLoads adds up the loads of the engines in a pool that currently accept new requests, and
// those of the resilient ones if the pool's policy finds the service mixed.
func (p *Picker) SumLoads(now time.Time, l Pool) api.PoolLoad {
	var x api.PoolLoad
	x.Mixed = l.Policy != nil && l.Policy.Mixed()
	x.Rate = p.SumLimits(l.Members)
	for _, m := range l.Members {
		if m.State == roster.Ready && !m.Closed && p.withinLimit(now, l, m) {
			t := p.EngineLoads.Total(m.Name)
			x.Engines++
			x.Tokens += t.Tokens
			x.Unread += t.Unread
			if x.Mixed && l.Policy.Resilient(m.Name) {
				x.Resilient++
				x.ResilientTokens += t.Tokens
				x.ResilientUnread += t.Unread
			}
		}
	}
	return x
}

// SumLimits adds up the rate limits of the servers that accept new requests, in requests per second; zero
// if one of them has none.
func (p *Picker) SumLimits(l []roster.Member) float64 {
	sum := 0.0
	for _, m := range l {
		if m.State != roster.Ready || m.Closed {
			continue
		}
		r, ok := p.Limits.Find(m.Name)
		if !ok {
			return 0
		}
		sum += float64(r)
	}
	return sum
}
