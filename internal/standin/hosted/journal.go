package hosted

import (
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Request is a request as it arrives at a backend server.
type Request struct {
	ID        api.RequestID
	Method    string
	Target    string
	Body      string
	Workspace api.WorkspaceName
	// ExpectedServer is the server that the request is addressed to; if it is empty, any
	// server at the address may run it.
	ExpectedServer api.ServerID
	// ResumeFrom is the handle of the copy to resume a run from; it is empty for a new run.
	ResumeFrom string
	// LastEvent is the number of the last event that the caller has received; zero means
	// none.
	LastEvent int
	// Tokens is the length of the answer that is requested as a stream.
	Tokens api.Tokens
	// BackupAddress is the address of the server that holds a backup copy of the run while
	// it grows; it is empty for a run without a backup.
	BackupAddress string
	// Parts are the parts of the prompt but the last.
	Parts []string
}

// crashCauses are what may crash the server that runs the request.
func (a Request) crashCauses() []string { return append([]string{a.Body}, a.Parts...) }

// Arrival is the arrival of a request at a server.
type Arrival struct {
	Request
	At time.Time
	// Server is the server that the request arrived at.
	Server api.ServerName
	// Refused is set if the server answered that it did not run the request.
	Refused bool
	// Signals are the signals in the server's answer, which the entry VM has not received if Lost is set.
	Signals Signals
	Lost    bool
}

// Run is the execution of a request at one server.
type Run struct {
	RequestID api.RequestID
	Server    api.ServerName
	// Generation identifies the output of a run. A run that is resumed from a copy keeps the
	// generation.
	Generation int
	Started    time.Time
	// Ended is zero while the server executes the run.
	Ended time.Time
}

// Journal records the requests and runs of backend servers.
type Journal struct {
	mutex          sync.Mutex
	arrivals       []Arrival
	runs           []*Run
	lastGeneration int
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{}
}

func (j *Journal) recordArrival(a Arrival) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	a.At = time.Now()
	j.arrivals = append(j.arrivals, a)
}

// startRun records the start of a run. For generation zero it assigns a new one.
func (j *Journal) startRun(id api.RequestID, s api.ServerName, generation int) *Run {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if generation == 0 {
		j.lastGeneration++
		generation = j.lastGeneration
	}
	r := &Run{RequestID: id, Server: s, Generation: generation, Started: time.Now()}
	j.runs = append(j.runs, r)
	return r
}

func (j *Journal) endRun(r *Run) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if r.Ended.IsZero() {
		r.Ended = time.Now()
	}
}

// Records returns the arrivals and runs recorded so far.
func (j *Journal) Records() ([]Arrival, []Run) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	l := make([]Run, 0, len(j.runs))
	for _, r := range j.runs {
		l = append(l, *r)
	}
	return append([]Arrival(nil), j.arrivals...), l
}
