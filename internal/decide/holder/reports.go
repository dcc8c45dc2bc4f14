package holder

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// refreshInterval is the interval between reports of a holder whose loads do not
	// change: a third of the time after which a report expires (placement.Ledger).
	refreshInterval = time.Second
	// grantReportDelay is how long a grant may stay unreported, since it already counts at
	// the allocator that made it. Most prompts are read by then, so that one report covers
	// both changes.
	grantReportDelay = 400 * time.Millisecond
)

// reportState is the state of the reports to one failure domain's allocator.
type reportState struct {
	// due is when the next change has to be reported; zero if there is none.
	due time.Time
	// sentAt is when the last report was sent, and sentTo the address that it was sent to.
	sentAt   time.Time
	sentTo   string
	inFlight bool
}

// ReportSchedule decides when a holder sends a report, and to which allocator.
type ReportSchedule struct {
	domains map[api.DomainName]*reportState
}

// NewReportSchedule returns an empty schedule.
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

// GrantReceived makes a report due within grantReportDelay, after the loads in a domain
// changed by a grant.
func (r *ReportSchedule) GrantReceived(now time.Time, d api.DomainName) {
	r.state(d).scheduleBy(now.Add(grantReportDelay))
}

// ScheduleReport makes a report due now, after the loads or the observations in a domain
// changed.
func (r *ReportSchedule) ScheduleReport(now time.Time, d api.DomainName) {
	r.state(d).scheduleBy(now)
}

// scheduleBy makes a report due at t unless one is due earlier.
func (s *reportState) scheduleBy(t time.Time) {
	if s.due.IsZero() || t.Before(s.due) {
		s.due = t
	}
}

// Due returns the failure domains to whose allocators a report may be due.
func (r *ReportSchedule) Due(now time.Time) []api.DomainName {
	var l []api.DomainName
	for d, s := range r.domains {
		if !s.inFlight && (s.changeDue(now) || now.Sub(s.sentAt) >= refreshInterval) {
			l = append(l, d)
		}
	}
	return l
}

// changeDue reports whether a change has to be reported now.
func (s *reportState) changeDue(now time.Time) bool {
	return !s.due.IsZero() && !now.Before(s.due)
}

// Begin reports whether a report to a domain's allocator at an address is due, and if so
// marks it as in flight. It is due for a change, and while load is held also for a new
// allocator or after refreshInterval.
func (r *ReportSchedule) Begin(now time.Time, d api.DomainName, to string, holds bool) bool {
	s := r.state(d)
	refresh := holds && (to != s.sentTo || now.Sub(s.sentAt) >= refreshInterval)
	if s.inFlight || !s.changeDue(now) && !refresh {
		return false
	}
	s.inFlight, s.due, s.sentAt, s.sentTo = true, time.Time{}, now, to
	return true
}

// AllocatedLocally records that this entry VM allocates a domain's engines itself, so that no
// report is due.
func (r *ReportSchedule) AllocatedLocally(now time.Time, d api.DomainName) {
	s := r.state(d)
	s.due, s.sentAt, s.sentTo = time.Time{}, now, ""
}

// End records the result of a report. A failed report is due again at once.
func (r *ReportSchedule) End(now time.Time, d api.DomainName, failed bool) {
	s := r.state(d)
	s.inFlight = false
	if failed {
		s.scheduleBy(now)
	}
}
