package soak

import (
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/standin/hosted"
)

// SentRequest is one call with what its caller saw.
type SentRequest struct {
	hosted.Call
	hosted.Reply
	Kind      directory.Kind
	Workspace api.WorkspaceName
	// VM is the place of the entry VM that it went to.
	VM   int
	At   time.Time
	Done time.Time
}

// Probe is one look at which configuration an entry VM serves by: a request on
// a route that some versions have.
type Probe struct {
	VM int
	// Incarnation counts the starts of the VM's process.
	Incarnation int
	At          time.Time
	// FromVersion and BeforeVersion are the versions that answer so: from the first up to, but
	// not with, the last; BeforeVersion is zero for no end.
	FromVersion, BeforeVersion int64
}

// Span is the time in which something held.
type Span struct {
	From, Until time.Time
}

// overlaps reports whether a span shares time with another.
func (s Span) overlaps(o Span) bool {
	return s.From.Before(o.Until) && o.From.Before(s.Until)
}

// Injection is a fault as it was brought about.
type Injection struct {
	Fault
	Span
	// VM and Server name whom it met; VM is All for each of them and noVM for none.
	VM     int
	Server api.ServerName
}

// noVM is the VM of a trouble that meets none.
const noVM = -2

// LeaveNotice is the acknowledgement that a server is leaving.
type LeaveNotice struct {
	Server api.ServerName
	At     time.Time
}

// Closure is the time for which a failure domain was closed to new work.
type Closure struct {
	Domain api.DomainName
	Span
}

// Record is all that a checker may go by.
type Record struct {
	Requests     []SentRequest
	Probes       []Probe
	Arrivals     []hosted.Arrival
	Runs         []hosted.Run
	Injections   []Injection
	LeaveNotices []LeaveNotice
	// ConfigTimes tells when each version of the configuration was acknowledged.
	ConfigTimes map[int64]time.Time
	// Closures tells when each failure domain was acknowledged as closed, and open again.
	Closures []Closure
	// PathServices are the services that some version sends a path's requests to.
	PathServices map[string][]api.ServiceName
	// ServerServices tells the service of each server.
	ServerServices map[api.ServerName]api.ServiceName
	// ServerDomains tells the failure domain of each server.
	ServerDomains map[api.ServerName]api.DomainName
	// CrashTimes tells when servers crashed under each deadly body.
	CrashTimes map[string][]time.Time
	// Failures are the VMs whose processes ended by themselves or wrote that they
	// are broken.
	Failures []string
	// CalmSince begins once the last fault is over.
	CalmSince time.Time
	End       time.Time
}

// recorder collects a record.
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

// update changes the record.
func (r *recorder) update(f func(r *Record)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f(&r.record)
}
