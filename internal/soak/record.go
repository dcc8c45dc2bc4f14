package soak

import (
	"net/http"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/standin/hosted"
)

// SentRequest is a request with what its caller received.
type SentRequest struct {
	hosted.Call
	hosted.Reply
	Kind      directory.Kind
	Workspace api.WorkspaceName
	// Try is the first request of those by which the caller tries the same work again; empty for the first.
	Try api.RequestID
	// VM is the index of the entry VM that got the request.
	VM   int
	At   time.Time
	Done time.Time
}

// firstOfTry returns the first request of the caller's try.
func (s *SentRequest) firstOfTry() api.RequestID {
	if s.Try == "" {
		return s.ID
	}
	return s.Try
}

// served reports whether the caller received a whole answer that is no failure.
func (s *SentRequest) served() bool {
	return s.Complete && s.Status == http.StatusOK
}

// mayRepeat reports whether the caller may send the request again: if it is safe, after each failure, and
// otherwise only if it has not run and never will.
func (s *SentRequest) mayRepeat() bool {
	switch {
	case s.Left || s.served():
		return false
	case s.Kind == directory.Safe:
		return s.Status == 0 || s.Status >= http.StatusInternalServerError || meansNotRun(s.Status)
	default:
		return s.Complete && meansNotRun(s.Status) || fault.Has(s.Err, fault.NotStarted)
	}
}

// Probe is one observation of the configuration that an entry VM uses, by a request for a
// path or key that only some versions have.
type Probe struct {
	VM int
	// Incarnation counts the starts of the VM's process.
	Incarnation int
	At          time.Time
	// FromVersion and BeforeVersion bound the versions that give this answer: from the
	// first up to, but not including, the second; a BeforeVersion of zero means no upper
	// bound.
	FromVersion, BeforeVersion int64
}

// Span is a period of time.
type Span struct {
	From, Until time.Time
}

// overlaps reports whether two spans share time.
func (s Span) overlaps(o Span) bool {
	return s.From.Before(o.Until) && o.From.Before(s.Until)
}

// Injection is a fault that was injected, with the time for which it lasted.
type Injection struct {
	Fault
	Span
	// VM and Server are what the fault affected; VM is All for every entry VM and noVM for
	// none.
	VM     int
	Server api.ServerName
}

// noVM is the VM of an injection that affects no entry VM.
const noVM = -2

// LeaveNotice records when a server's announcement that it leaves was acknowledged.
type LeaveNotice struct {
	Server api.ServerName
	At     time.Time
}

// Closure is the period for which a failure domain was closed to new work.
type Closure struct {
	Domain api.DomainName
	Span
}

// FragilePeriod is a period in which all servers of a service announced that they fail once they have to
// refuse too many requests, and how often they failed.
type FragilePeriod struct {
	Service           api.ServiceName
	Servers, Failures int
	Span
}

// Record is all that Check considers.
type Record struct {
	Requests     []SentRequest
	Probes       []Probe
	Arrivals     []hosted.Arrival
	Runs         []hosted.Run
	Injections   []Injection
	LeaveNotices []LeaveNotice
	// ConfigTimes holds when each version of the configuration was acknowledged.
	ConfigTimes map[int64]time.Time
	// Closures holds from when and until when each failure domain was acknowledged as
	// closed.
	Closures       []Closure
	FragilePeriods []FragilePeriod
	// PathServices holds the services to which some version routes the requests of a path.
	PathServices map[string][]api.ServiceName
	// ServerServices holds the service of each server.
	ServerServices map[api.ServerName]api.ServiceName
	// ServerDomains holds the failure domain of each server.
	ServerDomains map[api.ServerName]api.DomainName
	// CrashTimes holds when servers crashed, by the body or the part of the prompt that crashes them.
	// It has an entry for each of these, also if none crashed yet.
	CrashTimes map[string][]time.Time
	// Failures describes entry VMs whose processes ended unexpectedly or logged a failure
	// mark, and errors of the soak itself.
	Failures []string
	// CalmSince is when the last fault ended.
	CalmSince time.Time
	End       time.Time
}

// recorder collects a Record from several goroutines.
type recorder struct {
	mutex  sync.Mutex
	record Record
}

func newRecorder() *recorder {
	return &recorder{record: Record{
		ConfigTimes: map[int64]time.Time{}, PathServices: map[string][]api.ServiceName{}, ServerServices: map[api.ServerName]api.ServiceName{},
		ServerDomains: map[api.ServerName]api.DomainName{}, CrashTimes: map[string][]time.Time{},
	}}
}

// update changes the record under the mutex.
func (r *recorder) update(f func(r *Record)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f(&r.record)
}
