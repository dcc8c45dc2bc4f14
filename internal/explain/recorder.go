package explain

import (
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// maxDecisions bounds the decisions recorded for one request.
const maxDecisions = 64

// Recorder holds the decisions of the most recent requests.
type Recorder struct {
	vm    api.VMName
	mutex sync.Mutex
	ring  []api.RequestID
	next  int
	byID  map[api.RequestID]*api.Explanation
}

// New creates a recorder that holds the last n requests.
func New(vm api.VMName, n int) *Recorder {
	return &Recorder{vm: vm, ring: make([]api.RequestID, n), byID: make(map[api.RequestID]*api.Explanation)}
}

// Begin starts the record of a request, which replaces the oldest record.
func (r *Recorder) Begin(id api.RequestID, w api.WorkspaceName) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.byID, r.ring[r.next])
	r.ring[r.next] = id
	r.next = (r.next + 1) % len(r.ring)
	r.byID[id] = &api.Explanation{Request: id, VM: r.vm, Workspace: w, Decisions: []api.Decision{}}
}

// Record adds a decision to a request's record; it does nothing if there is no
// record or the record is full.
func (r *Recorder) Record(id api.RequestID, step, detail string) {
	now := api.UnixMilliseconds(time.Now())
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.byID[id]
	if !ok || len(e.Decisions) >= maxDecisions {
		return
	}
	e.Decisions = append(e.Decisions, api.Decision{TimeMS: now, Step: step, Detail: detail})
}

// Find returns a copy of a request's record.
func (r *Recorder) Find(id api.RequestID) (api.Explanation, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.byID[id]
	if !ok {
		return api.Explanation{}, fault.New(fault.UnknownRequest, "no record of request "+string(id)+" on this entry VM")
	}
	c := *e
	c.Decisions = append([]api.Decision{}, e.Decisions...)
	return c, nil
}
