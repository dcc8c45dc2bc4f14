package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Outcome is what becomes of a call of the store.
type Outcome int

// Outcomes.
const (
	// Answered calls get what they ask for.
	Answered Outcome = iota
	// Busy and Throttled calls are refused.
	Busy
	Throttled
	// Disconnected calls lose their connection.
	Disconnected
	// HistoryGone calls ask for changes that are no longer kept.
	HistoryGone
	// AlreadyExists calls make an object that is there, Missing ones remove one that is not.
	AlreadyExists
	NotFound
)

// Endpoint is the store as one caller of it meets it.
type Endpoint struct {
	store *Store

	mutex   sync.Mutex
	outcome Outcome
	delay   time.Duration
}

// NewEndpoint makes an endpoint that answers.
func (s *Store) NewEndpoint() *Endpoint {
	return &Endpoint{store: s}
}

// SetOutcome changes what becomes of calls, and by how much they are held back.
func (e *Endpoint) SetOutcome(o Outcome, slow time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.outcome, e.delay = o, slow
}

// Era counts how often the store came back from a copy.
func (e *Endpoint) Era() api.Era {
	return e.store.Era()
}

// delayedOutcome holds a call back and gives what becomes of it.
func (e *Endpoint) delayedOutcome() Outcome {
	e.mutex.Lock()
	o, slow := e.outcome, e.delay
	e.mutex.Unlock()
	time.Sleep(slow)
	return o
}

// List gives a page of a kind behind a name.
func (e *Endpoint) List(kind, after string) (Page, Outcome) {
	if o := e.delayedOutcome(); o != Answered {
		return Page{}, o
	}
	return e.store.list(kind, after), Answered
}

// Watch waits for the changes of a kind after a revision.
func (e *Endpoint) Watch(ctx context.Context, kind string, from api.Revision, wait time.Duration) (Changes, Outcome) {
	if o := e.delayedOutcome(); o != Answered {
		return Changes{}, o
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		c, wake, ok := e.store.changesSince(kind, from)
		if !ok {
			return c, HistoryGone
		}
		if len(c.Items) > 0 {
			return c, Answered
		}
		select {
		case <-wake:
		case <-end.C:
			return c, Answered
		case <-ctx.Done():
			return c, Disconnected
		}
	}
}

// Create makes an object.
func (e *Endpoint) Create(x Entry) Outcome {
	if o := e.delayedOutcome(); o != Answered {
		return o
	}
	if !e.store.create(x) {
		return AlreadyExists
	}
	return Answered
}

// Delete removes an object.
func (e *Endpoint) Delete(kind, name string) Outcome {
	if o := e.delayedOutcome(); o != Answered {
		return o
	}
	if !e.store.Delete(Entry{Kind: kind, Name: name}) {
		return NotFound
	}
	return Answered
}
