package hosted

import (
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Request is a request as it comes to a backend server.
type Request struct {
	ID        api.RequestID
	Method    string
	Target    string
	Body      string
	Workspace api.WorkspaceName
	// ExpectedServer is the one that is meant; empty for whoever has the address.
	ExpectedServer api.ServerID
	// ResumeFrom names the copy of a run's memory to go on from; empty for a new run.
	ResumeFrom string
	// LastEvent is the last event that the caller has, zero for none.
	LastEvent int
	// Tokens is the length of the answer that a stream asks for.
	Tokens api.Tokens
	// BackupAddress is the address of the server that is to keep a copy as the run
	// grows; empty for none.
	BackupAddress string
}

// Arrival is one request with the server that it came to.
type Arrival struct {
	Request
	At time.Time
	// Server is the server that took it.
	Server api.ServerName
	// Refused is set where that said that it did not run it.
	Refused bool
	// Signals is what the server says of itself in its answer.
	Signals Signals
}

// Run is one time that a server worked on a request.
type Run struct {
	RequestID api.RequestID
	Server    api.ServerName
	// Generation is kept by copies of the run's memory.
	Generation int
	Started    time.Time
	// Ended is zero while the server is at work.
	Ended time.Time
}

// Journal records what backend servers saw.
type Journal struct {
	mutex          sync.Mutex
	arrivals       []Arrival
	runs           []*Run
	lastGeneration int
}

// NewJournal makes an empty journal.
func NewJournal() *Journal {
	return &Journal{}
}

func (j *Journal) recordArrival(a Arrival) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	a.At = time.Now()
	j.arrivals = append(j.arrivals, a)
}

// startRun notes the start of a run; a zero generation is a new one.
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

// Records gives what was recorded so far.
func (j *Journal) Records() ([]Arrival, []Run) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	l := make([]Run, 0, len(j.runs))
	for _, r := range j.runs {
		l = append(l, *r)
	}
	return append([]Arrival(nil), j.arrivals...), l
}
