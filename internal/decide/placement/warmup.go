package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// A server that has just started, or was cold otherwise, falls over at well above
// the requests a second that its service bears cold. Each chooser keeps to a share of
// that rate for each server, so that the sum stays below the rate without a word
// between them: the entry VM that allocates an engine, even beside its successor
// while both allocate, and all entry VMs that choose for themselves together.
const (
	// allocatorWarmupShare is the share of the entry VM that allocates an engine. Two of
	// them and all others make 1.4, and operators allow half as much again as the
	// rate. An engine reads six prompts of usual length a second at most, which half
	// of a usual rate allows.
	allocatorWarmupShare = 0.5
	// independentWarmupShare is the share of all entry VMs that choose an engine themselves, as
	// where no allocator answers.
	independentWarmupShare = 0.4
	// plainWarmupShare is the share of all entry VMs at a plain server, which nobody
	// allocates.
	plainWarmupShare = 0.9
)

// Warmup is what a cold server of a pool bears, and how many choose among them.
type Warmup struct {
	// Rate is in requests a second; zero for no bound.
	Rate float64
	// EntryVMs counts the entry VMs.
	EntryVMs int
}

// warmupRate is the rate that this entry VM may send to a cold server of a pool, in
// requests a second; zero for no bound.
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

// coldPeriod is one time for which a server is cold.
type coldPeriod struct {
	until time.Time
	// firstSend is when this entry VM may send its first request, drawn within the pause
	// between two of them: entry VMs that send less than one a second must not all begin
	// at once.
	firstSend time.Time
}

// SendHistory are the times of the requests that this entry VM sent, or granted to others,
// by server.
type SendHistory struct {
	times   map[api.ServerName][]time.Time
	periods map[api.ServerName]coldPeriod
	random  *rand.Rand
}

// NewSendHistory makes a record of none that draws from a source.
func NewSendHistory(r *rand.Rand) *SendHistory {
	return &SendHistory{times: map[api.ServerName][]time.Time{}, periods: map[api.ServerName]coldPeriod{}, random: r}
}

// Record takes a request to a server.
func (s *SendHistory) Record(now time.Time, n api.ServerName) {
	l := s.times[n]
	// The newest is kept however old it is: rates below one a second go by it.
	old := max(0, len(l)-1)
	for i, t := range l[:old] {
		if now.Sub(t) < time.Second {
			old = i
			break
		}
	}
	s.times[n] = append(slices.Delete(l, 0, old), now)
}

// withinRate reports whether another request to a server, cold until a time, stays within a
// rate in each second.
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

// firstSendTime is when the first request may be sent in the present period.
func (s *SendHistory) firstSendTime(now time.Time, n api.ServerName, until time.Time, interval time.Duration) time.Time {
	p := s.periods[n]
	if !now.Before(p.until) {
		p.firstSend = now.Add(time.Duration(s.random.Float64() * float64(interval)))
	}
	p.until = until
	s.periods[n] = p
	return p.firstSend
}

// Forget drops what is known of servers that are gone.
func (s *SendHistory) Forget(known func(n api.ServerName) bool) {
	gone := func(n api.ServerName) bool { return !known(n) }
	maps.DeleteFunc(s.times, func(n api.ServerName, _ []time.Time) bool { return gone(n) })
	maps.DeleteFunc(s.periods, func(n api.ServerName, _ coldPeriod) bool { return gone(n) })
}
