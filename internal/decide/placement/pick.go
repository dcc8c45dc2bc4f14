package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/throttle"
)

// Requirements is what a request asks of a server.
type Requirements struct {
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
	// ExactLoads is set where the loads of the domain's servers are known as they are, as
	// on the entry VM that allocates its engines: the best one is chosen. Where they
	// are known late, a few are compared.
	ExactLoads bool
	// PreferDomain leaves the domain only where none of its servers has room. It is for
	// copies of a run's memory, which take twice as long between domains, while
	// notices are hardly long enough within one.
	PreferDomain bool
	// MaxMemoryShare is the share of an engine's memory that may be promised; zero for all
	// that may be promised at all.
	MaxMemoryShare float64
	// MaxUnread bounds the prompts that an engine has to read before the first event
	// of a new request, its own among them; zero for no bound. An engine that reads
	// nothing takes any.
	MaxUnread api.Tokens
	// Warmup bounds what is sent to servers that are cold.
	Warmup Warmup
	// Standby is set where the servers' allocator is asked since the first choice does not
	// answer.
	Standby bool
	// ExcludeLimited leaves out servers that have named a limit: what goes on from a copy can't be
	// held up there.
	ExcludeLimited bool
	// ExcludeBackingOff leaves out servers that asked this entry VM for rest, as for its own requests.
	ExcludeBackingOff bool
}

// Scores are in units of a server's whole capacity.
const (
	// unreadScale is the prompt tokens whose reading holds an engine up for
	// about as long as a full memory is worth: half a second at 14 tokens a ms.
	unreadScale = 7000.0
	// jitter is the part of a score that is drawn: entry VMs that know the same
	// must not all choose the same server until they hear of each other.
	jitter = 0.15
	// remotePenalty is the price of leaving the failure domain. It breaks ties, since a
	// request moves a few KB and takes a ms more.
	remotePenalty = 0.03
	// coldPenalty is the price of a server that has just started and is still slow: it
	// takes work before one that is a quarter fuller.
	coldPenalty = 0.25
	// limitedPenalty is the price of a server that has named a limit, which it does in need.
	limitedPenalty = 0.25
	// avoidPenalty puts servers that cool down, fail or lapsed behind all others.
	avoidPenalty = 10.0
	// maxMemoryShare is the share of an engine's memory that may be promised; the
	// rest is for answers longer than expected.
	maxMemoryShare = 0.97
)

// Picker chooses servers.
type Picker struct {
	// PlainLoads counts the loads of plain servers, Engines those of engines.
	PlainLoads  *LoadTable
	EngineLoads *Ledger
	Health      *Health
	Sends       *SendHistory
	// Limits are what servers have named, and Pacer keeps to them.
	Limits   *throttle.Limits
	Pacer    *throttle.Pacer
	Backoffs *Backoffs
	random   *rand.Rand
}

// NewPicker makes a picker without load that draws from a source.
func NewPicker(s rand.Source) *Picker {
	r := rand.New(s)
	return &Picker{PlainLoads: NewLoadTable(), EngineLoads: NewLedger(), Health: NewHealth(), Sends: NewSendHistory(r), Limits: throttle.NewLimits(), Pacer: throttle.NewPacer(r), Backoffs: NewBackoffs(), random: r}
}

// Choice is a server with the figures that decided for it.
type Choice struct {
	roster.Server
	// Load is what was known to be in flight there.
	Load api.ServerLoad
	// Score rates it, lower is better.
	Score float64
	// Candidates counts the servers that it was chosen from.
	Candidates int
}

// Pick gives the best of some servers for a need that are none of those tried,
// or false when no server may take it.
func (p *Picker) Pick(now time.Time, l Pool, n Requirements, tried []api.ServerName) (Choice, bool) {
	all := p.candidates(now, l, n, tried)
	if l.PreferDomain {
		all = l.preferDomain(all)
	}
	if len(all) == 0 {
		return Choice{}, false
	}
	best := slices.MinFunc(p.sample(now, l, all), func(a, b Choice) int { return cmp.Compare(a.Score, b.Score) })
	best.Load = p.load(now, l, best.Name)
	best.Candidates = len(all)
	return best, true
}

// preferDomain gives those of some servers that are in the domain, or all where none of
// them is to be had there.
func (l Pool) preferDomain(all []Choice) []Choice {
	n := slices.DeleteFunc(slices.Clone(all), func(c Choice) bool { return c.Domain != l.Domain || c.Score >= avoidPenalty })
	if len(n) == 0 {
		return all
	}
	return n
}

// candidates gives the servers that may take a need with their scores.
func (p *Picker) candidates(now time.Time, l Pool, n Requirements, tried []api.ServerName) []Choice {
	var all []Choice
	poolFailureRate := p.Health.meanFailureRate(serverNames(l.Members))
	for _, m := range l.Members {
		if !m.Takes() || slices.Contains(tried, m.Name) || !p.mayReceive(now, l, m) {
			continue
		}
		if s, ok := p.score(now, l, m, n, poolFailureRate); ok {
			all = append(all, Choice{Server: m.Server, Score: s})
		}
	}
	return all
}

// mayReceive reports whether a server may be sent another request: one that rests none, a cold one
// and an engine that has named a limit only so many a second.
func (p *Picker) mayReceive(now time.Time, l Pool, m roster.Member) bool {
	if l.ExcludeBackingOff && p.Backoffs.Active(now, m.Name) {
		return false
	}
	rate := l.warmupRate(m)
	if rate != 0 && now.Before(m.Warm) && !p.Sends.withinRate(now, m.Name, m.Warm, rate) {
		return false
	}
	return p.withinLimit(now, l, m)
}

// withinLimit reports whether another request to a server stays withinLimit the limit that it has named.
func (p *Picker) withinLimit(now time.Time, l Pool, m roster.Member) bool {
	r, ok := p.Limits.Find(m.Name)
	switch {
	case !ok:
		return true
	case l.ExcludeLimited:
		return false
	case l.Memory == 0:
		// Who paces the server is asked once it is chosen.
		return true
	default:
		return !p.Pacer.Next(now, m.Name, l.throttleTerms(m, r)).After(now)
	}
}

// throttleTerms are those of an engine that has named a limit.
func (l Pool) throttleTerms(m roster.Member, r throttle.Rate) throttle.Terms {
	t := throttle.Terms{Rate: r, Part: throttle.Alone, Members: l.Warmup.EntryVMs}
	switch {
	case !l.ExactLoads || m.Domain != l.Domain:
	case l.Standby:
		t.Part = throttle.Standby
	default:
		t.Part = throttle.Whole
	}
	return t
}

// RecordSend notes a request that is sent to a server, or granted to another entry VM.
func (p *Picker) RecordSend(now time.Time, n api.ServerName) {
	p.Sends.Record(now, n)
	p.Pacer.Sent(now, n)
}

// Forget drops what is known of servers that are gone.
func (p *Picker) Forget(known func(n api.ServerName) bool) {
	p.Health.Forget(known)
	p.Sends.Forget(known)
	p.Limits.Forget(known)
	p.Pacer.Forget(known)
	p.Backoffs.Forget(known)
}

const (
	// minSample and sampleShare give the number of servers that are compared:
	// all of a small pool for a few entry VMs, two for many. Loads are known some
	// hundred ms late, and many that compare all servers meet at the best one.
	minSample    = 2
	sampleBudget = 48
)

// sample draws some of the servers, from those that are not to be avoided where
// there are any.
func (p *Picker) sample(now time.Time, l Pool, all []Choice) []Choice {
	good := slices.DeleteFunc(slices.Clone(all), func(c Choice) bool { return c.Score >= avoidPenalty })
	if len(good) == 0 {
		return all
	}
	p.random.Shuffle(len(good), func(i, j int) { good[i], good[j] = good[j], good[i] })
	if l.ExactLoads {
		return good
	}
	return good[:min(len(good), minSample+sampleBudget/p.PlainLoads.EntryVMs(now))]
}

// load is what is known to be in flight at a server of a pool.
func (p *Picker) load(now time.Time, l Pool, n api.ServerName) api.ServerLoad {
	if l.Memory > 0 {
		return p.EngineLoads.Total(n)
	}
	return p.PlainLoads.Total(now, n)
}

// score rates a server, lower is better; it reports false for an engine whose
// memory is promised already.
func (p *Picker) score(now time.Time, l Pool, m roster.Member, n Requirements, poolFailureRate float64) (float64, bool) {
	t := p.load(now, l, m.Name)
	s := float64(t.Requests) / float64(max(1, m.Slots))
	if l.Memory > 0 {
		used := float64(t.Tokens+n.Tokens) / float64(l.Memory)
		if !l.fits(t, n, used) {
			return 0, false
		}
		s = used + float64(t.Unread)/unreadScale
	}
	if !l.ExactLoads || m.Domain != l.Domain {
		// Others may choose among the same engines.
		s += jitter * p.random.Float64()
	}
	if m.Domain != l.Domain {
		s += remotePenalty
	}
	if now.Before(m.Warm) {
		s += coldPenalty
	}
	if _, ok := p.Limits.Find(m.Name); ok {
		s += limitedPenalty
	}
	if m.State == roster.Lapsed {
		s += avoidPenalty
	}
	if p.Health.coolingDown(now, m.Name) {
		s += avoidPenalty
	}
	if p.Health.faulty(m.Name, poolFailureRate) {
		s += avoidPenalty
	}
	return s, true
}

// fits reports whether an engine with a load may take a need, with which so
// much of its memory is promised.
func (l Pool) fits(t api.ServerLoad, n Requirements, used float64) bool {
	switch {
	case used > maxMemoryShare:
		return false
	case l.MaxMemoryShare > 0 && used > l.MaxMemoryShare && t.Tokens > 0:
		return false
	default:
		return l.MaxUnread == 0 || t.Unread == 0 || t.Unread+n.Unread <= l.MaxUnread
	}
}

const (
	// maxBackupShare is the share of an engine's memory that may be promised with
	// copies for runs elsewhere; what is above stays for runs of its own.
	maxBackupShare = 0.5
	// minBackupLength is the expected length of an answer from which a run is worth
	// a copy: about three seconds in which its server may end.
	minBackupLength = 300
)

// WorthBackup reports whether a run whose answer is expected to be so long is worth a
// copy.
func WorthBackup(expected api.Tokens) bool {
	return expected >= minBackupLength
}

// PickBackup gives the server that is to keep a copy of a run as it grows, none of
// those tried, or false where the run is short or memory is needed for runs
// themselves.
func (p *Picker) PickBackup(now time.Time, l Pool, n Requirements, expected api.Tokens, tried []api.ServerName) (Choice, bool) {
	if !WorthBackup(expected) {
		return Choice{}, false
	}
	x, ok := p.Pick(now, l, n, tried)
	if !ok {
		return x, false
	}
	return x, float64(x.Load.Tokens+n.Tokens) <= maxBackupShare*float64(l.Memory)
}

func serverNames(l []roster.Member) []api.ServerName {
	n := make([]api.ServerName, 0, len(l))
	for _, m := range l {
		n = append(n, m.Name)
	}
	return n
}
