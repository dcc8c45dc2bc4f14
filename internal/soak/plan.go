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

// widerFrom is the first seed whose plan draws from the wider kinds too: the plan of an
// earlier one stays what it was.
const widerFrom = 3000

// deadlyFrom is the first seed whose plan draws deadly requests too.
const deadlyFrom = 6000

// restoreFrom is the first seed whose plan draws restores of the store too.
const restoreFrom = 7000

// signalsFrom is the first seed whose plan draws what servers say in their answers too.
const signalsFrom = 8000

// signalKinds are what servers say of themselves; no request may be lost by them.
var signalKinds = []Kind{SignalLimit, SignalBackoff, SignalLeaving}

// widerPlanned and widerUnplanned are the kinds that only later seeds draw.
var (
	widerPlanned   = []Kind{CloseDomain, ForeignEntry}
	widerUnplanned = []Kind{RestartServer}
)

// planned are the kinds that operators bring about; no request may be lost by
// them.
var planned = []Kind{StopVM, ReloadVM, LeaveServer, ChangeRoute, RevokeKey}

// unplanned are all others.
var unplanned = []Kind{
	KillVM, PauseVM, CallerLink, StoreBusy, StoreThrottle, StoreReset, StoreSlow, StoreSilent, StoreDropHistory, StoreStale, CrashServer, SilentServer, ServerLink, LoseAnswers,
}

// Planned reports whether operators bring the fault about.
func (k Kind) Planned() bool {
	return slices.Contains(planned, k) || slices.Contains(widerPlanned, k) || slices.Contains(signalKinds, k)
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

// Usual is the size of a usual soak: small enough for every machine, with a VM
// and an engine to spare in each failure domain.
func Usual() Size {
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
	// faultEvery is the mean pause between the beginnings of faults; most last
	// longer, so that they overlap.
	faultEvery = 1200 * time.Millisecond
	// faultLeast and faultMost bound how long a fault lasts: from below what the
	// entry VMs notice to several times the time in which changes are in force.
	faultLeast = 300 * time.Millisecond
	faultMost  = 5 * time.Second
	// calmFirst is without faults, so that the system is up, and calmLast, so
	// that it can be seen to serve again.
	calmFirst = 2 * time.Second
	calmLast  = 9 * time.Second
	// seriesChance is how often a fault comes again twice at once.
	seriesChance = 0.3
	seriesPause  = 700 * time.Millisecond
	// plannedShare is the share of seeds with planned work alone, in which no
	// request may be lost.
	plannedShare = 0.3
)

// New draws the plan of a seed.
func New(seed uint64, s Size, length time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 1))
	p := Plan{Seed: seed, Size: s, Length: milliseconds(length)}
	plannedKinds, all := planned, slices.Concat(planned, unplanned)
	if seed >= widerFrom {
		plannedKinds, all = slices.Concat(planned, widerPlanned), slices.Concat(all, widerPlanned, widerUnplanned)
	}
	if seed >= deadlyFrom {
		all = append(all, CrashingRequest)
	}
	if seed >= restoreFrom {
		// Twice, as it is the youngest: what holds through it is new.
		all = append(all, StoreRestore, StoreRestore)
	}
	if seed >= signalsFrom {
		plannedKinds, all = slices.Concat(plannedKinds, signalKinds), slices.Concat(all, signalKinds, signalKinds)
	}
	kinds := all
	if r.Float64() < plannedShare {
		kinds = plannedKinds
	}
	last := length - calmLast
	for at := calmFirst; at < last; at += time.Duration(r.ExpFloat64() * float64(faultEvery)) {
		f := Fault{Kind: kinds[r.IntN(len(kinds))], At: milliseconds(at), Target: r.IntN(1 << 16)}
		d := faultLeast + time.Duration(r.Float64()*float64(faultMost-faultLeast))
		f.For = milliseconds(min(d, last-at))
		if r.Float64() < 0.5 && storeKinds[f.Kind] || f.Kind == StoreRestore {
			f.Target = All
		}
		if f.Kind == CallerLink || f.Kind == ServerLink {
			f.Mode = modes[r.IntN(len(modes))]
		}
		p.Faults = append(p.Faults, f)
		if r.Float64() < seriesChance {
			p.Faults = append(p.Faults, series(f, last)...)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return p
}

// storeKinds are the faults that may be met by all entry VMs at once.
var storeKinds = map[Kind]bool{StoreBusy: true, StoreThrottle: true, StoreReset: true, StoreSlow: true, StoreSilent: true, StoreStale: true}

// series repeats a fault twice at the next places.
func series(f Fault, last time.Duration) []Fault {
	var l []Fault
	for i := range 2 {
		n := f
		n.At += milliseconds(seriesPause) * api.Milliseconds(i+1)
		if n.Target != All {
			n.Target += i + 1
		}
		if n.At+n.For < milliseconds(last) {
			l = append(l, n)
		}
	}
	return l
}

func milliseconds(d time.Duration) api.Milliseconds {
	return api.Milliseconds(d.Milliseconds())
}

// Load reads a plan from a file.
func Load(path string) (Plan, error) {
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
