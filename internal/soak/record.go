package soak

import (
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/standin/hosted"
)

// Sent is one call with what its caller saw.
type Sent struct {
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
	// Life counts the starts of the VM's process.
	Life int
	At   time.Time
	// From and Until are the versions that answer so: from the first up to, but
	// not with, the last; Until is zero for no end.
	From, Until int64
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

// Leave is the acknowledgement that a server is leaving.
type Leave struct {
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
	Sent     []Sent
	Probes   []Probe
	Arrivals []hosted.Arrival
	Runs     []hosted.Run
	Injected []Injection
	Leaves   []Leave
	// Configs tells when each version of the configuration was acknowledged.
	Configs map[int64]time.Time
	// Closures tells when each failure domain was acknowledged as closed, and open again.
	Closures []Closure
	// Services are the services that some version sends a path's requests to.
	Services map[string][]api.ServiceName
	// Servers tells the service of each server.
	Servers map[api.ServerName]api.ServiceName
	// Domains tells the failure domain of each server.
	Domains map[api.ServerName]api.DomainName
	// Crashes tells when servers crashed under each deadly body.
	Crashes map[string][]time.Time
	// Failures are the VMs whose processes ended by themselves or wrote that they
	// are broken.
	Failures []string
	// Calm begins once the last fault is over.
	Calm time.Time
	End  time.Time
}

// recorder collects a record.
type recorder struct {
	mutex  sync.Mutex
	record Record
}

func newRecorder() *recorder {
	return &recorder{record: Record{
		Configs: map[int64]time.Time{}, Services: map[string][]api.ServiceName{}, Servers: map[api.ServerName]api.ServiceName{},
		Domains: map[api.ServerName]api.DomainName{}, Crashes: map[string][]time.Time{},
	}}
}

// note changes the record.
func (r *recorder) note(f func(r *Record)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f(&r.record)
}
