package holder

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// refreshInterval is the pause between reports of a holder whose loads stand
	// still: a third of the time after which it counts as gone (placement.Ledger).
	refreshInterval = time.Second
	// grantReportDelay is how long a grant that was taken may stay unreported, since it
	// counts already where it was made; most are read by then, which is reported
	// along with it.
	grantReportDelay = 400 * time.Millisecond
)

// reportState is what was reported to a failure domain's allocator.
type reportState struct {
	// due is when the next change has to be reported; zero for none.
	due time.Time
	// sentAt is when the last report was sent, and to which address.
	sentAt   time.Time
	sentTo   string
	inFlight bool
}

// ReportSchedule decides when a holder reports what it holds to which allocator.
type ReportSchedule struct {
	domains map[api.DomainName]*reportState
}

// NewReportSchedule makes a record of no reports.
func NewReportSchedule() *ReportSchedule {
	return &ReportSchedule{domains: map[api.DomainName]*reportState{}}
}

func (r *ReportSchedule) state(d api.DomainName) *reportState {
	s, ok := r.domains[d]
	if !ok {
		s = &reportState{}
		r.domains[d] = s
	}
	return s
}

// GrantReceived notes that the loads in a domain changed by a grant.
func (r *ReportSchedule) GrantReceived(now time.Time, d api.DomainName) {
	r.state(d).scheduleBy(now.Add(grantReportDelay))
}

// ScheduleReport notes that the loads in a domain changed.
func (r *ReportSchedule) ScheduleReport(now time.Time, d api.DomainName) {
	r.state(d).scheduleBy(now)
}

func (s *reportState) scheduleBy(t time.Time) {
	if s.due.IsZero() || t.Before(s.due) {
		s.due = t
	}
}

// Due lists the failure domains whose allocators may have to be told.
func (r *ReportSchedule) Due(now time.Time) []api.DomainName {
	var l []api.DomainName
	for d, s := range r.domains {
		if !s.inFlight && (s.changeDue(now) || now.Sub(s.sentAt) >= refreshInterval) {
			l = append(l, d)
		}
	}
	return l
}

// changeDue reports whether a change is to be reported now.
func (s *reportState) changeDue(now time.Time) bool {
	return !s.due.IsZero() && !now.Before(s.due)
}

// Begin reports whether a report is due to a domain's allocator at an address,
// and takes it as sent: a change, or all that is held to a new allocator or after
// a while.
func (r *ReportSchedule) Begin(now time.Time, d api.DomainName, to string, holds bool) bool {
	s := r.state(d)
	refresh := holds && (to != s.sentTo || now.Sub(s.sentAt) >= refreshInterval)
	if s.inFlight || !s.changeDue(now) && !refresh {
		return false
	}
	s.inFlight, s.due, s.sentAt, s.sentTo = true, time.Time{}, now, to
	return true
}

// AllocatedLocally notes that this entry VM allocates a domain's engines itself, so that there
// is nobody to report to.
func (r *ReportSchedule) AllocatedLocally(now time.Time, d api.DomainName) {
	s := r.state(d)
	s.due, s.sentAt, s.sentTo = time.Time{}, now, ""
}

// End notes what became of a report; one that failed is made again.
func (r *ReportSchedule) End(now time.Time, d api.DomainName, failed bool) {
	s := r.state(d)
	s.inFlight = false
	if failed {
		s.scheduleBy(now)
	}
}
