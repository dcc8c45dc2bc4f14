package leavequery

import (
	"maps"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Role is the part of an entry VM in the queries.
type Role int

// Roles of entry VMs.
const (
	// Nothing is queried while the platform answers, or while another entry VM queries.
	Nothing Role = iota
	// Domain means that the entry VM queries the engines of its failure domain.
	Domain
	// OwnRuns means that the entry VM queries the engines of its own streams.
	OwnRuns
)

const (
	// Interval is the minimum time between two queries of an engine in use.
	Interval = 250 * time.Millisecond
	// maxDue is the number of engines that are queried at once. Each query in progress takes
	// tens of KB for its connection, and a failure domain may have thousands of engines.
	maxDue = 32
	// ownRunsDelay is how long the platform must have been silent before an entry VM queries the
	// engines of its own streams. By then the entry VM that queries for all has told so in an
	// exchange, of which there is one each 450 ms in large fleets.
	ownRunsDelay = 600 * time.Millisecond
)

// Engine is an engine that accepts requests.
type Engine struct {
	Name api.ServerName
	// Local is set if the engine is in the failure domain of this entry VM.
	Local bool
	// InUse is set if it is known to hold load, and OwnRuns if it runs streams of this entry VM.
	InUse, OwnRuns bool
	// Unallocated is set if no entry VM is known that allocates the engine's failure domain.
	Unallocated bool
}

// Schedule decides when engines are queried.
type Schedule struct {
	// silentSince is when the role was last Nothing.
	silentSince time.Time
	// queriedAt is when each engine was last queried.
	queriedAt map[api.ServerName]time.Time
}

// New returns a schedule without queries.
func New() *Schedule {
	return &Schedule{queriedAt: map[api.ServerName]time.Time{}}
}

// Due lists the engines to be queried now, at most maxDue, and records their queries. Those that were
// queried longest ago come first, and then they keep the order given.
func (s *Schedule) Due(now time.Time, r Role, l []Engine) []api.ServerName {
	if r == Nothing {
		s.silentSince = time.Time{}
		clear(s.queriedAt)
		return nil
	}
	if s.silentSince.IsZero() {
		s.silentSince = now
	}
	var due []api.ServerName
	listed := make(map[api.ServerName]bool, len(l))
	for _, e := range l {
		listed[e.Name] = true
		if s.queries(now, r, e) && now.Sub(s.queriedAt[e.Name]) >= Interval {
			due = append(due, e.Name)
		}
	}
	slices.SortStableFunc(due, func(a, b api.ServerName) int { return s.queriedAt[a].Compare(s.queriedAt[b]) })
	due = due[:min(len(due), maxDue)]
	for _, n := range due {
		s.queriedAt[n] = now
	}
	maps.DeleteFunc(s.queriedAt, func(n api.ServerName, _ time.Time) bool { return !listed[n] })
	return due
}

// queries reports whether an entry VM with a role queries an engine. Engines that run nothing are left
// out, since no stream is lost with them.
func (s *Schedule) queries(now time.Time, r Role, e Engine) bool {
	switch {
	case r == Domain && e.Local:
		return e.InUse || e.OwnRuns
	case r == Domain:
		return e.Unallocated && e.OwnRuns
	case r == OwnRuns && e.OwnRuns:
		return now.Sub(s.silentSince) >= ownRunsDelay
	default:
		return false
	}
}
