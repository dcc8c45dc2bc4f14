package holder

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// refreshTime is the pause between reports of a holder whose loads stand
	// still: a third of the time after which it counts as gone (placement.Ledger).
	refreshTime = time.Second
	// grantedTime is how long a grant that was taken may stay unreported, since it
	// counts already where it was made; most are read by then, which is reported
	// along with it.
	grantedTime = 400 * time.Millisecond
)

// reportState is what was reported to a failure domain's allocator.
type reportState struct {
	// due is when the next change has to be reported; zero for none.
	due time.Time
	// at is when the last report was sent, and to which address.
	at   time.Time
	to   string
	busy bool
}

// Reports decides when a holder reports what it holds to which allocator.
type Reports struct {
	domains map[api.DomainName]*reportState
}

// NewReports makes a record of no reports.
func NewReports() *Reports {
	return &Reports{domains: map[api.DomainName]*reportState{}}
}

func (r *Reports) state(d api.DomainName) *reportState {
	s, ok := r.domains[d]
	if !ok {
		s = &reportState{}
		r.domains[d] = s
	}
	return s
}

// Granted notes that the loads in a domain changed by a grant.
func (r *Reports) Granted(now time.Time, d api.DomainName) {
	r.state(d).expect(now.Add(grantedTime))
}

// Changed notes that the loads in a domain changed.
func (r *Reports) Changed(now time.Time, d api.DomainName) {
	r.state(d).expect(now)
}

func (s *reportState) expect(t time.Time) {
	if s.due.IsZero() || t.Before(s.due) {
		s.due = t
	}
}

// Due lists the failure domains whose allocators may have to be told.
func (r *Reports) Due(now time.Time) []api.DomainName {
	var l []api.DomainName
	for d, s := range r.domains {
		if !s.busy && (s.changed(now) || now.Sub(s.at) >= refreshTime) {
			l = append(l, d)
		}
	}
	return l
}

// changed reports whether a change is to be reported now.
func (s *reportState) changed(now time.Time) bool {
	return !s.due.IsZero() && !now.Before(s.due)
}

// Begin reports whether a report is due to a domain's allocator at an address,
// and takes it as sent: a change, or all that is held to a new allocator or after
// a while.
func (r *Reports) Begin(now time.Time, d api.DomainName, to string, holds bool) bool {
	s := r.state(d)
	lapses := holds && (to != s.to || now.Sub(s.at) >= refreshTime)
	if s.busy || !s.changed(now) && !lapses {
		return false
	}
	s.busy, s.due, s.at, s.to = true, time.Time{}, now, to
	return true
}

// Own notes that this entry VM allocates a domain's engines itself, so that there
// is nobody to report to.
func (r *Reports) Own(now time.Time, d api.DomainName) {
	s := r.state(d)
	s.due, s.at, s.to = time.Time{}, now, ""
}

// End notes what became of a report; one that failed is made again.
func (r *Reports) End(now time.Time, d api.DomainName, failed bool) {
	s := r.state(d)
	s.busy = false
	if failed {
		s.expect(now)
	}
}
