package hosted

import (
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Asked is a request as it comes to a backend server.
type Asked struct {
	Request   api.RequestID
	Method    string
	Target    string
	Body      string
	Workspace api.WorkspaceName
	// Server is the one that is meant; empty for whoever has the address.
	Server api.ServerID
	// Copy names the copy of a run's memory to go on from; empty for a new run.
	Copy string
	// After is the last event that the caller has, zero for none.
	After int
	// Tokens is the length of the answer that a stream asks for.
	Tokens api.Tokens
	// Protect is the address of the server that is to keep a copy as the run
	// grows; empty for none.
	Protect string
}

// Arrival is one request with the server that it came to.
type Arrival struct {
	Asked
	At time.Time
	// By is the server that took it.
	By api.ServerName
	// Refused is set where that said that it did not run it.
	Refused bool
	// Word is what the server says of itself in its answer.
	Word Word
}

// Run is one time that a server worked on a request.
type Run struct {
	Request api.RequestID
	Server  api.ServerName
	// Generation is kept by copies of the run's memory.
	Generation int
	Began      time.Time
	// Ended is zero while the server is at work.
	Ended time.Time
}

// Journal records what backend servers saw.
type Journal struct {
	mutex    sync.Mutex
	arrivals []Arrival
	runs     []*Run
	next     int
}

// NewJournal makes an empty journal.
func NewJournal() *Journal {
	return &Journal{}
}

func (j *Journal) arrived(a Arrival) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	a.At = time.Now()
	j.arrivals = append(j.arrivals, a)
}

// began notes the start of a run; a zero generation is a new one.
func (j *Journal) began(id api.RequestID, s api.ServerName, generation int) *Run {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if generation == 0 {
		j.next++
		generation = j.next
	}
	r := &Run{Request: id, Server: s, Generation: generation, Began: time.Now()}
	j.runs = append(j.runs, r)
	return r
}

func (j *Journal) ended(r *Run) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if r.Ended.IsZero() {
		r.Ended = time.Now()
	}
}

// Read gives what was recorded so far.
func (j *Journal) Read() ([]Arrival, []Run) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	l := make([]Run, 0, len(j.runs))
	for _, r := range j.runs {
		l = append(l, *r)
	}
	return append([]Arrival(nil), j.arrivals...), l
}
