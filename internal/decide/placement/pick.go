package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/fragile"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/decide/throttle"
)

// Requirements is what a request needs at a server.
type Requirements struct {
	// Tokens is the engine memory that the request will hold; zero for plain services.
	Tokens api.Tokens
	// Unread is the part of the prompt that the engine has to read (prefill) first.
	Unread api.Tokens
	// NewPrompt is set for a request whose prompt no engine has read yet, unlike a run that
	// moves or a backup copy.
	NewPrompt bool
	// Protected is set for a stream that has a gap target, may become long by the caller's
	// limit on the answer, and has had no gap over the target yet.
	Protected bool
	// GapTarget is the longest time allowed between two events of the stream; zero for none.
	GapTarget time.Duration
	// Handoff is set for a run that leaves the engine which read its prompt.
	Handoff bool
}

// newLong reports whether a request is a new answer that may become long and has a gap target.
func (n Requirements) newLong() bool {
	return n.NewPrompt && n.Protected
}

// Policy rates the engines of a service whose engines differ.
type Policy interface {
	// Mixed reports whether prefill beside a stream breaks the gap target on some of the
	// engines but not on all.
	Mixed() bool
	// Resilient reports whether prefill at an engine keeps the gap target of the streams
	// there.
	Resilient(n api.ServerName) bool
	// Penalty returns what is added to the score of an engine with the given load.
	Penalty(n api.ServerName, load api.ServerLoad, r Requirements) float64
	// PrefillFactor returns the prefill rate of an engine relative to that of the others. It
	// is positive, and 1 where it is unknown or the engines are alike.
	PrefillFactor(n api.ServerName) float64
}

// Pool is the set of servers of one service, with the rules for a choice among them.
type Pool struct {
	Members []roster.Member
	// Memory is the memory of one engine; zero for plain services.
	Memory api.Tokens
	// Domain is the preferred failure domain: that of this entry VM, or that of the server
	// that a run is copied from.
	Domain api.DomainName
	// ExactLoads is set if the loads of the domain's servers are known without delay, as on
	// the entry VM that allocates its engines. The best of all servers is chosen then.
	// Otherwise loads are known late, and the best of a random sample is chosen.
	ExactLoads bool
	// PreferDomain leaves the domain only if none of its servers is usable. It is set for
	// moves of runs: copying a run's memory takes twice as long between domains, and the
	// notice of a leaving server is hardly long enough within one.
	PreferDomain bool
	// MaxMemoryShare is the share of a busy engine's memory that may be reserved. Zero
	// leaves only the general bound, maxMemoryShare, which also applies to idle engines.
	MaxMemoryShare float64
	// MaxUnread bounds the prompt tokens that an engine has to read before the first event
	// of a new request, including the request's own; zero for no bound. The policy's prefill
	// factor scales it by engine. An engine with nothing to read accepts any prompt.
	MaxUnread api.Tokens
	// Warmup bounds the requests that are sent to cold servers.
	Warmup Warmup
	// Standby is set if the allocator that chooses stands in for the first-choice one,
	// which does not answer; it then uses only the standby's share of a server's rate
	// limit.
	Standby bool
	// ExcludeLimited leaves out servers that have announced a rate limit: a run that
	// resumes from its backup copy cannot wait for a send slot there.
	ExcludeLimited bool
	// ExcludeBackingOff leaves out servers in a backoff that they requested from this entry
	// VM; it is set for the requests of this entry VM.
	ExcludeBackingOff bool
	// Policy adds a penalty to the score of each engine; nil for none.
	Policy Policy
}

// Scores are in units of a server's whole capacity.
const (
	// unreadScale is the number of unread prompt tokens that weighs as much as a full
	// memory. Engines read 14 tokens a ms, so it delays a request by half a second.
	unreadScale = 7000.0
	// jitter is the largest random addition to a score. Entry VMs that have the same
	// reports must not all choose the same server before their choices are reported to
	// each other.
	jitter = 0.15
	// remotePenalty is added for a server in another failure domain. It only breaks ties,
	// since a request there transfers a few KB and takes one ms longer.
	remotePenalty = 0.03
	// coldPenalty is added for a server that has just started and is still slow: it is
	// chosen before a server that has a quarter more of its capacity in use.
	coldPenalty = 0.25
	// limitedPenalty is added for a server that has announced a rate limit, since servers
	// announce one only when they are overloaded.
	limitedPenalty = 0.25
	// avoidPenalty ranks servers that are in a cooldown, faulty or lapsed behind all
	// others.
	avoidPenalty = 10.0
	// maxMemoryShare is the share of an engine's memory that may be reserved. The remainder
	// is for answers that are longer than expected.
	maxMemoryShare = 0.97
)

// Picker chooses servers for requests.
type Picker struct {
	// PlainLoads counts the loads of plain servers, EngineLoads those of engines.
	PlainLoads  *LoadTable
	EngineLoads *Ledger
	Health      *Health
	Sends       *SendHistory
	// Limits holds the rate limits that servers have announced, and Pacer spaces the
	// requests to these servers.
	Limits   *throttle.Limits
	Pacer    *throttle.Pacer
	Backoffs *Backoffs
	// Fragile holds the services whose servers fail once they have to refuse too much.
	Fragile *fragile.Services
	// Borrowed holds the room at fragile servers beyond the equal share.
	Borrowed *fragile.Borrowed
	random   *rand.Rand
}

// NewPicker returns a picker without any load that draws random numbers from s.
func NewPicker(s rand.Source) *Picker {
	r := rand.New(s)
	return &Picker{PlainLoads: NewLoadTable(), EngineLoads: NewLedger(), Health: NewHealth(), Sends: NewSendHistory(r), Limits: throttle.NewLimits(), Pacer: throttle.NewPacer(r), Backoffs: NewBackoffs(), Fragile: fragile.New(), Borrowed: fragile.NewBorrowed(), random: r}
}

// Choice is a chosen server with the figures that the choice was based on.
type Choice struct {
	roster.Server
	// Load is the load that was known at the server when it was chosen.
	Load api.ServerLoad
	// Score is the server's rating; lower is better.
	Score float64
	// Penalty is the part of the score that the pool's policy added: what callers at the
	// server would lose. Class and Role are those of the engine. They are empty for services
	// whose engines are alike.
	Penalty     float64
	Class, Role string
	// Candidates is the number of servers that the server was chosen from.
	Candidates int
}

// Pick returns the best server of a pool for a request, leaving out those tried, or false
// if no server can accept it.
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

// preferDomain returns the candidates in the pool's domain, or all candidates if there is
// none or all of them there are to be avoided.
func (l Pool) preferDomain(all []Choice) []Choice {
	n := slices.DeleteFunc(slices.Clone(all), func(c Choice) bool { return c.Domain != l.Domain || c.Score >= avoidPenalty })
	if len(n) == 0 {
		return all
	}
	return n
}

// candidates returns the servers that can accept a request, with their scores.
func (p *Picker) candidates(now time.Time, l Pool, n Requirements, tried []api.ServerName) []Choice {
	var all []Choice
	poolFailureRate := p.Health.meanFailureRate(serverNames(l.Members))
	for _, m := range l.Members {
		if !m.AcceptsRequests() || slices.Contains(tried, m.Name) || !p.mayReceive(now, l, m) {
			continue
		}
		if s, ok := p.score(now, l, m, n, poolFailureRate); ok {
			x := l.penalty(m.Name, p.load(now, l, m.Name), n)
			all = append(all, Choice{Server: m.Server, Score: s + x, Penalty: x})
		}
	}
	return all
}

// mayReceive reports whether a server may be sent another request now: none during its
// backoff, and a limited rate to a cold server or to an engine that has announced a limit.
func (p *Picker) mayReceive(now time.Time, l Pool, m roster.Member) bool {
	if l.ExcludeBackingOff && p.Backoffs.Active(now, m.Name) {
		return false
	}
	if !p.hasSureRoom(now, l, m) {
		return false
	}
	rate := l.warmupRate(m)
	if rate != 0 && now.Before(m.WarmAt) && !p.Sends.withinRate(now, m.Name, m.WarmAt, rate) {
		return false
	}
	return p.withinLimit(now, l, m)
}

// hasSureRoom reports whether a fragile server certainly has room for another request: it has not just
// refused one, and a slot is free there as far as this entry VM may fill them.
func (p *Picker) hasSureRoom(now time.Time, l Pool, m roster.Member) bool {
	if _, ok := p.Fragile.MaxRejections(m.Service); !ok {
		return true
	}
	if p.Health.coolingDown(now, m.Name) {
		return false
	}
	share := p.MaxInFlight(now, m, l.Warmup.EntryVMs)
	switch {
	case l.Memory == 0:
		return p.PlainLoads.Local(m.Name).Requests < share
	case l.ExactLoads && m.Domain == l.Domain && !l.Standby:
		return p.EngineLoads.Total(m.Name).Requests < m.Slots
	default:
		return p.EngineLoads.Total(m.Name).Requests < share
	}
}

// MaxInFlight returns how many requests this one of several entry VMs may have in flight at a fragile
// server.
func (p *Picker) MaxInFlight(now time.Time, m roster.Member, entryVMs int) int {
	return p.Borrowed.InFlight(now, m.Name, fragile.MaxInFlight(m.Slots, entryVMs))
}

// withinLimit reports whether another request stays within the rate limit that the server
// has announced.
func (p *Picker) withinLimit(now time.Time, l Pool, m roster.Member) bool {
	r, ok := p.Limits.Find(m.Name)
	switch {
	case !ok:
		return true
	case l.ExcludeLimited:
		return false
	case l.Memory == 0:
		// The entry VM that paces a plain server is queried after the choice.
		return true
	default:
		return !p.Pacer.NextSlot(now, m.Name, l.throttleTerms(m, r)).After(now)
	}
}

// throttleTerms returns the share of an engine's announced limit that this entry VM may
// use.
func (l Pool) throttleTerms(m roster.Member, r throttle.Rate) throttle.Quota {
	t := throttle.Quota{Rate: r, Share: throttle.Alone, Members: l.Warmup.EntryVMs}
	switch {
	case !l.ExactLoads || m.Domain != l.Domain:
	case l.Standby:
		t.Share = throttle.Standby
	default:
		t.Share = throttle.Whole
	}
	return t
}

// RecordSend records a request that is sent to a server, or granted to another entry VM.
func (p *Picker) RecordSend(now time.Time, n api.ServerName) {
	p.Sends.Record(now, n)
	p.Pacer.RecordSend(now, n)
}

// Forget drops the state of the servers that are not known.
func (p *Picker) Forget(known func(n api.ServerName) bool) {
	p.Health.Forget(known)
	p.Sends.Forget(known)
	p.Limits.Forget(known)
	p.Borrowed.Forget(known)
	p.Pacer.Forget(known)
	p.Backoffs.Forget(known)
}

const (
	// minSample and sampleBudget give the number of servers that are compared: minSample
	// plus sampleBudget divided by the number of entry VMs. That is every server of a small
	// pool for a few entry VMs, and two servers for many. Loads are known some hundred ms
	// late, so many entry VMs that compare all servers would choose the same one.
	minSample    = 2
	sampleBudget = 48
)

// sample returns a random sample of the candidates, from those not to be avoided if there
// are any. With exact loads it returns all of these in random order.
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

// load returns the load that is known at a server of a pool.
func (p *Picker) load(now time.Time, l Pool, n api.ServerName) api.ServerLoad {
	if l.Memory > 0 {
		return p.EngineLoads.Total(n)
	}
	return p.PlainLoads.Total(now, n)
}

// score rates a server; lower is better. It returns false for an engine that has no memory
// for the request or too much to read before it.
func (p *Picker) score(now time.Time, l Pool, m roster.Member, n Requirements, poolFailureRate float64) (float64, bool) {
	t := p.load(now, l, m.Name)
	s := float64(t.Requests) / float64(max(1, m.Slots))
	if l.Memory > 0 {
		used := float64(t.Tokens+n.Tokens) / float64(l.Memory)
		f := l.prefillFactor(m.Name)
		if !l.fits(t, n, used, f) {
			return 0, false
		}
		s = used + float64(t.Unread)/unreadScale/f
	}
	if !l.ExactLoads || m.Domain != l.Domain {
		// Other entry VMs may choose among the same servers.
		s += jitter * p.random.Float64()
	}
	if m.Domain != l.Domain {
		s += remotePenalty
	}
	if now.Before(m.WarmAt) {
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

// penalty returns what the policy adds to the score of an engine.
func (l Pool) penalty(m api.ServerName, t api.ServerLoad, n Requirements) float64 {
	if l.Policy == nil || l.Memory == 0 {
		return 0
	}
	return l.Policy.Penalty(m, t, n)
}

// prefillFactor returns the prefill rate of an engine relative to that of the others, 1 without
// a policy.
func (l Pool) prefillFactor(m api.ServerName) float64 {
	if l.Policy == nil {
		return 1
	}
	return l.Policy.PrefillFactor(m)
}

// fits reports whether an engine with load t can accept a request; used is the share of its
// memory that would be reserved, and factor its relative prefill rate.
func (l Pool) fits(t api.ServerLoad, n Requirements, used, factor float64) bool {
	switch {
	case used > maxMemoryShare:
		return false
	case l.MaxMemoryShare > 0 && used > l.MaxMemoryShare && t.Tokens > 0:
		return false
	default:
		return l.MaxUnread == 0 || t.Unread == 0 || float64(t.Unread+n.Unread) <= float64(l.MaxUnread)*factor
	}
}

const (
	// maxBackupShare is the share of an engine's memory up to which backup copies of runs
	// elsewhere are placed. Memory above it is for the runs that the engine executes.
	maxBackupShare = 0.5
	// minBackupLength is the expected answer length from which a run justifies the cost of a
	// backup copy: about three seconds, during which its server may end.
	minBackupLength = 300
)

// WorthBackup reports whether a run with this expected answer length is long enough for a
// backup copy.
func WorthBackup(expected api.Tokens) bool {
	return expected >= minBackupLength
}

// PickBackup chooses the server that holds the backup copy of a run, leaving out those
// tried. It returns false if the run is too short or the memory is needed for the runs
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
