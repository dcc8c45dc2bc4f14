package placement

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// Need is what a request asks of a server.
type Need struct {
	// Tokens is the engine memory that the request will hold; zero for plain
	// services.
	Tokens api.Tokens
	// Unread is the part of its prompt that the engine has to read first.
	Unread api.Tokens
}

// Pool is the servers of one service.
type Pool struct {
	Members []roster.Member
	// Memory is an engine's memory; zero for plain services.
	Memory api.Tokens
	// Domain is the failure domain to stay in: that of this entry VM, or of the
	// server that a run is copied from.
	Domain api.DomainName
	// Away is the price of leaving the domain, as a share of a server's capacity.
	Away float64
}

// Prices of leaving a failure domain.
const (
	// AwayCall breaks ties between servers, since a request moves a few KB and
	// takes a ms more.
	AwayCall = 0.03
	// AwayCopy is for copies of a run's memory, which take twice as long between
	// domains, while notices are hardly long enough within one.
	AwayCopy = 0.4
)

// Scores are in units of a server's whole capacity.
const (
	// unreadScale is the prompt tokens whose reading holds an engine up for
	// about as long as a full memory is worth: half a second at 14 tokens a ms.
	unreadScale = 7000.0
	// avoid puts servers that rest, fail or lapsed behind all others.
	avoid = 10.0
	// memoryBound is the share of an engine's memory that may be promised; the
	// rest is for answers longer than expected.
	memoryBound = 0.97
)

// Picker chooses servers.
type Picker struct {
	Book   *Book
	Health *Health
}

// NewPicker makes a picker without load.
func NewPicker() *Picker {
	return &Picker{Book: NewBook(), Health: NewHealth()}
}

// Pick gives the best server for a need that is none of those tried, or false
// when no server may take it.
func (p *Picker) Pick(now time.Time, l Pool, n Need, tried []api.ServerName) (roster.Server, bool) {
	var best roster.Server
	found := false
	lowest := 0.0
	share := p.Health.share(names(l.Members))
	for _, m := range l.Members {
		if m.State == roster.Leaving || slices.Contains(tried, m.Name) {
			continue
		}
		s, ok := p.score(now, l, m, n, share)
		if ok && (!found || s < lowest) {
			best, lowest, found = m.Server, s, true
		}
	}
	return best, found
}

// score rates a server, lower is better; it reports false for an engine whose
// memory is promised already.
func (p *Picker) score(now time.Time, l Pool, m roster.Member, n Need, share float64) (float64, bool) {
	t := p.Book.Total(now, m.Name)
	s := float64(t.Requests) / float64(max(1, m.Slots))
	if l.Memory > 0 {
		used := float64(t.Tokens+n.Tokens) / float64(l.Memory)
		if used > memoryBound {
			return 0, false
		}
		s = used + float64(t.Unread)/unreadScale
	}
	if m.Domain != l.Domain {
		s += l.Away
	}
	if m.State == roster.Lapsed {
		s += avoid
	}
	if p.Health.resting(now, m.Name) {
		s += avoid
	}
	if p.Health.faulty(m.Name, share) {
		s += avoid
	}
	return s, true
}

// Room is the share of a server's engine memory that nothing was promised.
func (p *Picker) Room(now time.Time, n api.ServerName, memory api.Tokens) float64 {
	return 1 - float64(p.Book.Total(now, n).Tokens)/float64(max(1, memory))
}

func names(l []roster.Member) []api.ServerName {
	n := make([]api.ServerName, 0, len(l))
	for _, m := range l {
		n = append(n, m.Name)
	}
	return n
}
