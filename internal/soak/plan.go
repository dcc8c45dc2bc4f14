package soak

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults; the target of each is an entry VM or a backend server.
const (
	KillVM     Kind = "kill-vm"
	PauseVM    Kind = "pause-vm"
	StopVM     Kind = "stop-vm"
	ReloadVM   Kind = "reload-vm"
	CallerLink Kind = "caller-link"
	// Store faults affect the connection of one entry VM to the platform's store, or that
	// of all if the target is All.
	StoreBusy        Kind = "store-busy"
	StoreThrottle    Kind = "store-limit"
	StoreReset       Kind = "store-reset"
	StoreSlow        Kind = "store-slow"
	StoreSilent      Kind = "store-silent"
	StoreDropHistory Kind = "store-forget"
	StoreStale       Kind = "store-stale"
	// CrashServer resets the connections of a server, SilentServer leaves them open
	// without answers.
	CrashServer  Kind = "crash-server"
	SilentServer Kind = "dark-server"
	LeaveServer  Kind = "leave-server"
	LoseAnswers  Kind = "lose-answers"
	ServerLink   Kind = "server-link"
	ChangeRoute  Kind = "change-route"
	RevokeKey    Kind = "revoke-key"
	// CloseDomain closes a failure domain to new work for a time, RestartServer restarts a
	// server under the same name, and ForeignEntry adds an invalid entry of another
	// writer.
	CloseDomain   Kind = "close-domain"
	RestartServer Kind = "rebirth-server"
	ForeignEntry  Kind = "foreign-entry"
	// CrashingRequest has a caller repeat a request that crashes the servers that run it.
	CrashingRequest Kind = "deadly-request"
	// CrashingPart has callers send different requests whose prompts share a part that crashes the
	// servers that run them.
	CrashingPart Kind = "deadly-part"
	// StoreRestore restores the store from a backup.
	StoreRestore Kind = "store-restore"
	// Servers signal these in their answers alone: a rate limit, a requested backoff, or
	// that they leave.
	SignalLimit   Kind = "limit-server"
	SignalBackoff Kind = "rest-server"
	SignalLeaving Kind = "say-leaving"
	// SignalFragile has all servers of a service announce that they fail once they have to refuse too
	// many requests, and gives them few slots.
	SignalFragile Kind = "fragile-servers"
	// LoseStreams has a server lose the connections of streams and work on. Orders to stop a run fail at first.
	LoseStreams Kind = "lose-streams"
	// ReplaceServers replaces the plain servers one after the other while they are overloaded: what they have no
	// room for gets a status that does not say that it did not run.
	ReplaceServers Kind = "replace-servers"
	// DuplicateAnswers replaces the plain servers as ReplaceServers does, but they prove that they did not run what they
	// have no room for, and send some of their answers a second time.
	DuplicateAnswers Kind = "duplicate-answers"
	// SoakStalled is in no plan: the process of the soak did not run for a while.
	SoakStalled Kind = "soak-stalled"
)

// firstExtendedSeed is the first seed whose plan also draws from the extended kinds, so
// that the plans of earlier seeds stay unchanged.
const firstExtendedSeed = 3000

// firstCrashingSeed is the first seed whose plan also draws crashing requests.
const firstCrashingSeed = 6000

// firstRestoreSeed is the first seed whose plan also draws restores of the store.
const firstRestoreSeed = 7000

// firstSignalSeed is the first seed whose plan also draws signals in the answers of
// servers.
const firstSignalSeed = 8000

// firstFragileSeed is the first seed whose plan also draws fragile servers.
const firstFragileSeed = 9000

// firstCrashingPartSeed is the first seed whose plan also draws crashing parts of prompts.
const firstCrashingPartSeed = 10000

// firstUnframedSeed is the first seed in whose plays half of the servers answer with neither a length
// nor chunks.
const firstUnframedSeed = 11000

// firstNarrowSeed is the first seed in whose plans links may be narrow, and whose entry VMs bound their
// callers by their links.
const firstNarrowSeed = 100000

// firstLoseStreamsSeed is the first seed whose plan also draws servers that lose streams.
const firstLoseStreamsSeed = 130000

// firstReplaceSeed is the first seed whose plan also draws replaced servers, and whose callers repeat requests.
const firstReplaceSeed = 140000

// firstDuplicateSeed is the first seed whose plan also draws duplicate answers, and whose callers keep the IDs of
// some of the requests that they repeat.
const firstDuplicateSeed = 150000

// signalKinds are the signals that servers send in their answers; no request may be lost
// by them.
var signalKinds = []Kind{SignalLimit, SignalBackoff, SignalLeaving}

// extendedPlannedKinds and extendedUnplannedKinds are drawn only from firstExtendedSeed
// on.
var (
	extendedPlannedKinds   = []Kind{CloseDomain, ForeignEntry}
	extendedUnplannedKinds = []Kind{RestartServer}
)

// basePlannedKinds are the faults that operators cause by planned work; no request may be
// lost by them.
var basePlannedKinds = []Kind{StopVM, ReloadVM, LeaveServer, ChangeRoute, RevokeKey}

// baseUnplannedKinds are the faults that are not planned work.
var baseUnplannedKinds = []Kind{
	KillVM, PauseVM, CallerLink, StoreBusy, StoreThrottle, StoreReset, StoreSlow, StoreSilent, StoreDropHistory, StoreStale, CrashServer, SilentServer, ServerLink, LoseAnswers,
}

// Planned reports whether the fault is planned work or a signal, by which no request may
// be lost.
func (k Kind) Planned() bool {
	return slices.Contains(basePlannedKinds, k) || slices.Contains(extendedPlannedKinds, k) || slices.Contains(signalKinds, k)
}

// All is the target of faults that affect every entry VM.
const All = -1

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind             `json:"kind"`
	At   api.Milliseconds `json:"at_ms"`
	For  api.Milliseconds `json:"for_ms"`
	// Target is an index among the entry VMs or the servers, taken modulo their number, or
	// All.
	Target int `json:"target"`
	// Mode is what the proxy of a link does to its bytes.
	Mode Mode `json:"mode,omitempty"`
}

// Size is the number of VMs, servers and callers of a testbed.
type Size struct {
	VMs     int `json:"vms"`
	Engines int `json:"engines"`
	Plain   int `json:"plain"`
	Callers int `json:"callers"`
}

// DefaultSize returns a size that is small enough for every machine and has a redundant VM
// and engine in each failure domain.
func DefaultSize() Size {
	return Size{VMs: 4, Engines: 5, Plain: 3, Callers: 24}
}

// Plan is a schedule of faults that its seed determines.
type Plan struct {
	Seed   uint64           `json:"seed"`
	Size   Size             `json:"size"`
	Length api.Milliseconds `json:"length_ms"`
	Faults []Fault          `json:"faults"`
}

const (
	// meanFaultInterval is the mean time between the starts of faults; most faults last
	// longer, so that they overlap.
	meanFaultInterval = 1200 * time.Millisecond
	// minFaultLength and maxFaultLength bound how long a fault lasts: from less than entry
	// VMs notice to several times the delay within which changes take effect.
	minFaultLength = 300 * time.Millisecond
	maxFaultLength = 5 * time.Second
	// initialCalm is free of faults so that the testbed can start, and finalCalm so that
	// its recovery can be observed.
	initialCalm = 2 * time.Second
	finalCalm   = 9 * time.Second
	// seriesChance is the probability that a fault is repeated twice, seriesInterval
	// apart.
	seriesChance   = 0.3
	seriesInterval = 700 * time.Millisecond
	// plannedShare is the share of seeds whose plans contain planned work alone, by which
	// no request may be lost.
	plannedShare = 0.3
)

// NewPlan generates the plan of a seed.
func NewPlan(seed uint64, s Size, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed, Size: s, Length: toMilliseconds(length)}
	plannedKinds, all := kindsOf(seed)
	modes := linkFaults
	if seed >= firstNarrowSeed {
		modes = narrowFaults
	}
	kinds := all
	if r.Float64() < plannedShare {
		kinds = plannedKinds
	}
	last := length - finalCalm
	for at := initialCalm; at < last; at += time.Duration(r.ExpFloat64() * float64(meanFaultInterval)) {
		f := Fault{Kind: kinds[r.IntN(len(kinds))], At: toMilliseconds(at), Target: r.IntN(1 << 16)}
		d := minFaultLength + time.Duration(r.Float64()*float64(maxFaultLength-minFaultLength))
		f.For = toMilliseconds(min(d, last-at))
		if r.Float64() < 0.5 && sharedStoreKinds[f.Kind] || f.Kind == StoreRestore {
			f.Target = All
		}
		if f.Kind == CallerLink || f.Kind == ServerLink {
			f.Mode = modes[r.IntN(len(modes))]
		}
		p.Faults = append(p.Faults, f)
		if r.Float64() < seriesChance {
			p.Faults = append(p.Faults, repeatFault(f, last)...)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return p
}

// kindsOf returns the kinds of planned work, and all kinds of faults, that the plan of a seed draws from.
func kindsOf(seed uint64) (planned, all []Kind) {
	planned, all = basePlannedKinds, slices.Concat(basePlannedKinds, baseUnplannedKinds)
	if seed >= firstExtendedSeed {
		planned, all = slices.Concat(basePlannedKinds, extendedPlannedKinds), slices.Concat(all, extendedPlannedKinds, extendedUnplannedKinds)
	}
	if seed >= firstCrashingSeed {
		all = append(all, CrashingRequest)
	}
	if seed >= firstRestoreSeed {
		// Listed twice for a higher weight, since the behavior that a restore checks is the
		// newest.
		all = append(all, StoreRestore, StoreRestore)
	}
	if seed >= firstSignalSeed {
		planned, all = slices.Concat(planned, signalKinds), slices.Concat(all, signalKinds, signalKinds)
	}
	if seed >= firstFragileSeed {
		all = append(all, SignalFragile, SignalFragile)
	}
	if seed >= firstCrashingPartSeed {
		all = append(all, CrashingPart, CrashingPart)
	}
	if seed >= firstLoseStreamsSeed {
		all = append(all, LoseStreams, LoseStreams)
	}
	if seed >= firstReplaceSeed {
		all = append(all, ReplaceServers, ReplaceServers)
	}
	if seed >= firstDuplicateSeed {
		all = append(all, DuplicateAnswers, DuplicateAnswers)
	}
	return planned, all
}

// eventIntervals returns the event interval of each engine. Half of the engines are slow; the seed
// determines which. The draws are separate from those of the faults, so that these stay unchanged.
func (p Plan) eventIntervals() []time.Duration {
	l := make([]time.Duration, p.Size.Engines)
	for k, i := range rand.New(rand.NewPCG(p.Seed, 2)).Perm(len(l)) {
		l[i] = fastEventInterval
		if k < len(l)/2 {
			l[i] = slowEventInterval
		}
	}
	return l
}

// answersUnframed reports whether the answers of a server end with their connections.
func (p Plan) answersUnframed(server int) bool {
	return p.Seed >= firstUnframedSeed && server%2 == 0
}

// sharedStoreKinds are the store faults that may affect all entry VMs at once.
var sharedStoreKinds = map[Kind]bool{StoreBusy: true, StoreThrottle: true, StoreReset: true, StoreSlow: true, StoreSilent: true, StoreStale: true}

// repeatFault returns two repetitions of a fault, at the next targets; it leaves out those
// that end too late.
func repeatFault(f Fault, last time.Duration) []Fault {
	var l []Fault
	for i := range 2 {
		n := f
		n.At += toMilliseconds(seriesInterval) * api.Milliseconds(i+1)
		if n.Target != All {
			n.Target += i + 1
		}
		if n.At+n.For < toMilliseconds(last) {
			l = append(l, n)
		}
	}
	return l
}

func toMilliseconds(d time.Duration) api.Milliseconds {
	return api.Milliseconds(d.Milliseconds())
}

// LoadPlan reads a plan from a file.
func LoadPlan(path string) (Plan, error) {
	var p Plan
	b, err := os.ReadFile(path)
	if err != nil {
		return p, fault.Wrap(fault.UnreadableFile, err, "reading a plan")
	}
	if err := json.Unmarshal(b, &p); err != nil {
		return p, fault.Wrap(fault.MalformedJSON, err, "reading a plan")
	}
	return p, nil
}

// Save writes the plan to a file.
func (p Plan) Save(path string) error {
	b, err := json.MarshalIndent(p, "", "  ")
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encoding a plan")
	}
	if err := os.WriteFile(path, append(b, '\n'), fileMode); err != nil {
		return fault.Wrap(fault.UnreadableFile, err, "writing a plan")
	}
	return nil
}

// Permissions of the files and folders that a soak creates.
const (
	fileMode = 0o600
	dirMode  = 0o700
)
