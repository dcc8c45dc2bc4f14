package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// A cold server, whether it has just started or is cold for another reason, fails at a rate well
// above the one that its service is configured to serve while cold. Each entry VM that chooses a server
// stays within a share of that rate, so that the sum holds without coordination. The shares are
// those of the entry VM that allocates an engine, of its successor while both allocate, and of all
// entry VMs together that choose for themselves.
const (
	// allocatorWarmupShare is the share of the entry VM that allocates an engine. Two
	// allocators and all other entry VMs add up to 1.4, and operators allow 1.5 times the
	// rate. An engine reads at most six prompts of usual length a second, which half of a
	// usual rate allows.
	allocatorWarmupShare = 0.5
	// independentWarmupShare is the share of all entry VMs together that choose an engine
	// themselves, for example because no allocator answers.
	independentWarmupShare = 0.4
	// plainWarmupShare is the share of all entry VMs together at a plain server, which has
	// no allocator.
	plainWarmupShare = 0.9
)

// Warmup is the request rate that a cold server of a pool can serve, and the number of entry
// VMs that share it.
type Warmup struct {
	// Rate is in requests a second; zero for no bound.
	Rate float64
	// EntryVMs is the number of entry VMs that choose among the servers.
	EntryVMs int
}

// warmupRate returns the rate at which this entry VM may send requests to a cold server of
// a pool, in requests a second; zero for no bound.
func (l Pool) warmupRate(m roster.Member) float64 {
	w := l.Warmup
	switch {
	case w.Rate <= 0:
		return 0
	case l.Memory > 0 && l.ExactLoads && m.Domain == l.Domain:
		return allocatorWarmupShare * w.Rate
	case l.Memory > 0:
		return independentWarmupShare * w.Rate / float64(max(1, w.EntryVMs))
	default:
		return plainWarmupShare * w.Rate / float64(max(1, w.EntryVMs))
	}
}

// coldPeriod is a period in which a server is cold.
type coldPeriod struct {
	until time.Time
	// firstSend is when this entry VM may send its first request, drawn at random from one
	// interval between requests. Otherwise entry VMs that each send less than one request a
	// second would all start at once.
	firstSend time.Time
}

// SendHistory holds, by server, the times of the requests that this entry VM sent or
// granted to others.
type SendHistory struct {
	times   map[api.ServerName][]time.Time
	periods map[api.ServerName]coldPeriod
	random  *rand.Rand
}

// NewSendHistory returns an empty history that draws random numbers from r.
func NewSendHistory(r *rand.Rand) *SendHistory {
	return &SendHistory{times: map[api.ServerName][]time.Time{}, periods: map[api.ServerName]coldPeriod{}, random: r}
}

// Record adds a request to a server.
func (s *SendHistory) Record(now time.Time, n api.ServerName) {
	l := s.times[n]
	// The newest time is always retained, since rates below one a second are checked
	// against it.
	old := max(0, len(l)-1)
	for i, t := range l[:old] {
		if now.Sub(t) < time.Second {
			old = i
			break
		}
	}
	s.times[n] = append(slices.Delete(l, 0, old), now)
}

// withinRate reports whether another request to a server that is cold until the given time
// stays within a rate, in requests a second.
func (s *SendHistory) withinRate(now time.Time, n api.ServerName, until time.Time, rate float64) bool {
	l := s.times[n]
	if rate < 1 {
		interval := time.Duration(float64(time.Second) / rate)
		return !now.Before(s.firstSendTime(now, n, until, interval)) && (len(l) == 0 || now.Sub(l[len(l)-1]) >= interval)
	}
	sent := 0
	for _, t := range l {
		if now.Sub(t) < time.Second {
			sent++
		}
	}
	return sent < int(rate)
}

// firstSendTime returns when the first request may be sent in the current cold period.
func (s *SendHistory) firstSendTime(now time.Time, n api.ServerName, until time.Time, interval time.Duration) time.Time {
	p := s.periods[n]
	if !now.Before(p.until) {
		p.firstSend = now.Add(time.Duration(s.random.Float64() * float64(interval)))
	}
	p.until = until
	s.periods[n] = p
	return p.firstSend
}

// Forget drops the history of servers that are not known.
func (s *SendHistory) Forget(known func(n api.ServerName) bool) {
	gone := func(n api.ServerName) bool { return !known(n) }
	maps.DeleteFunc(s.times, func(n api.ServerName, _ []time.Time) bool { return gone(n) })
	maps.DeleteFunc(s.periods, func(n api.ServerName, _ coldPeriod) bool { return gone(n) })
}
