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

// Kinds of faults; the target is an entry VM or a backend server.
const (
	KillVM     Kind = "kill-vm"
	PauseVM    Kind = "pause-vm"
	StopVM     Kind = "stop-vm"
	ReloadVM   Kind = "reload-vm"
	CallerLink Kind = "caller-link"
	// Store faults are met by one entry VM, or by all where the target is All.
	StoreBusy        Kind = "store-busy"
	StoreThrottle    Kind = "store-limit"
	StoreReset       Kind = "store-reset"
	StoreSlow        Kind = "store-slow"
	StoreSilent      Kind = "store-silent"
	StoreDropHistory Kind = "store-forget"
	StoreStale       Kind = "store-stale"
	// CrashServer resets the connections of a server, DarkServer leaves them open.
	CrashServer  Kind = "crash-server"
	SilentServer Kind = "dark-server"
	LeaveServer  Kind = "leave-server"
	LoseAnswers  Kind = "lose-answers"
	ServerLink   Kind = "server-link"
	ChangeRoute  Kind = "change-route"
	RevokeKey    Kind = "revoke-key"
	// CloseDomain closes a failure domain to new work for a while, RebirthServer starts
	// a server again under its name, and ForeignEntry is an entry of another writer.
	CloseDomain   Kind = "close-domain"
	RestartServer Kind = "rebirth-server"
	ForeignEntry  Kind = "foreign-entry"
	// CrashingRequest is a caller that comes again and again with a request that crashes
	// the servers which run it.
	CrashingRequest Kind = "deadly-request"
	// StoreRestore has the store come back from a copy.
	StoreRestore Kind = "store-restore"
	// SignalLimit names a limit, RestServer asks for rest and SayLeaving says that it leaves,
	// each in its answers alone.
	SignalLimit   Kind = "limit-server"
	SignalBackoff Kind = "rest-server"
	SignalLeaving Kind = "say-leaving"
)

// firstExtendedSeed is the first seed whose plan draws from the wider kinds too: the plan of an
// earlier one stays what it was.
const firstExtendedSeed = 3000

// firstCrashingSeed is the first seed whose plan draws deadly requests too.
const firstCrashingSeed = 6000

// firstRestoreSeed is the first seed whose plan draws restores of the store too.
const firstRestoreSeed = 7000

// firstSignalSeed is the first seed whose plan draws what servers say in their answers too.
const firstSignalSeed = 8000

// signalKinds are what servers say of themselves; no request may be lost by them.
var signalKinds = []Kind{SignalLimit, SignalBackoff, SignalLeaving}

// extendedPlannedKinds and extendedUnplannedKinds are the kinds that only later seeds draw.
var (
	extendedPlannedKinds   = []Kind{CloseDomain, ForeignEntry}
	extendedUnplannedKinds = []Kind{RestartServer}
)

// basePlannedKinds are the kinds that operators bring about; no request may be lost by
// them.
var basePlannedKinds = []Kind{StopVM, ReloadVM, LeaveServer, ChangeRoute, RevokeKey}

// baseUnplannedKinds are all others.
var baseUnplannedKinds = []Kind{
	KillVM, PauseVM, CallerLink, StoreBusy, StoreThrottle, StoreReset, StoreSlow, StoreSilent, StoreDropHistory, StoreStale, CrashServer, SilentServer, ServerLink, LoseAnswers,
}

// Planned reports whether operators bring the fault about.
func (k Kind) Planned() bool {
	return slices.Contains(basePlannedKinds, k) || slices.Contains(extendedPlannedKinds, k) || slices.Contains(signalKinds, k)
}

// All is the target of faults that every entry VM meets.
const All = -1

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind             `json:"kind"`
	At   api.Milliseconds `json:"at_ms"`
	For  api.Milliseconds `json:"for_ms"`
	// Target is a place among the entry VMs or servers, taken modulo their number.
	Target int `json:"target"`
	// Mode is what a link does to its bytes.
	Mode Mode `json:"mode,omitempty"`
}

// Size is how large a system is.
type Size struct {
	VMs     int `json:"vms"`
	Engines int `json:"engines"`
	Plain   int `json:"plain"`
	Callers int `json:"callers"`
}

// DefaultSize is the size of a usual soak: small enough for every machine, with a VM
// and an engine to spare in each failure domain.
func DefaultSize() Size {
	return Size{VMs: 4, Engines: 5, Plain: 3, Callers: 24}
}

// Plan is a schedule that one seed decides.
type Plan struct {
	Seed   uint64           `json:"seed"`
	Size   Size             `json:"size"`
	Length api.Milliseconds `json:"length_ms"`
	Faults []Fault          `json:"faults"`
}

const (
	// meanFaultInterval is the mean pause between the beginnings of faults; most last
	// longer, so that they overlap.
	meanFaultInterval = 1200 * time.Millisecond
	// minFaultLength and faultMost bound how long a fault lasts: from below what the
	// entry VMs notice to several times the time in which changes are in force.
	minFaultLength = 300 * time.Millisecond
	maxFaultLength = 5 * time.Second
	// initialCalm is without faults, so that the system is up, and calmLast, so
	// that it can be seen to serve again.
	initialCalm = 2 * time.Second
	finalCalm   = 9 * time.Second
	// seriesChance is how often a fault comes again twice at once.
	seriesChance   = 0.3
	seriesInterval = 700 * time.Millisecond
	// plannedShare is the share of seeds with planned work alone, in which no
	// request may be lost.
	plannedShare = 0.3
)

// NewPlan draws the plan of a seed.
func NewPlan(seed uint64, s Size, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed, Size: s, Length: toMilliseconds(length)}
	plannedKinds, all := basePlannedKinds, slices.Concat(basePlannedKinds, baseUnplannedKinds)
	if seed >= firstExtendedSeed {
		plannedKinds, all = slices.Concat(basePlannedKinds, extendedPlannedKinds), slices.Concat(all, extendedPlannedKinds, extendedUnplannedKinds)
	}
	if seed >= firstCrashingSeed {
		all = append(all, CrashingRequest)
	}
	if seed >= firstRestoreSeed {
		// Twice, as it is the youngest: what holds through it is new.
		all = append(all, StoreRestore, StoreRestore)
	}
	if seed >= firstSignalSeed {
		plannedKinds, all = slices.Concat(plannedKinds, signalKinds), slices.Concat(all, signalKinds, signalKinds)
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
			f.Mode = linkFaults[r.IntN(len(linkFaults))]
		}
		p.Faults = append(p.Faults, f)
		if r.Float64() < seriesChance {
			p.Faults = append(p.Faults, repeatFault(f, last)...)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return p
}

// sharedStoreKinds are the faults that may be met by all entry VMs at once.
var sharedStoreKinds = map[Kind]bool{StoreBusy: true, StoreThrottle: true, StoreReset: true, StoreSlow: true, StoreSilent: true, StoreStale: true}

// repeatFault repeats a fault twice at the next places.
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

// Save writes a plan to a file.
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

// Modes of the files and folders that a soak leaves.
const (
	fileMode = 0o600
	dirMode  = 0o700
)
