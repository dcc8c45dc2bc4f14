package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Outcome is the result of a call to the store.
type Outcome int

// Outcomes.
const (
	// Answered calls succeed.
	Answered Outcome = iota
	// Busy calls are rejected by an unavailable store, Throttled ones by its rate limit.
	Busy
	Throttled
	// Disconnected calls lose their connection.
	Disconnected
	// HistoryGone calls request changes that are no longer stored.
	HistoryGone
	// AlreadyExists calls create an object that exists, NotFound ones delete one that
	// doesn't.
	AlreadyExists
	NotFound
)

// Endpoint gives one client access to the store and injects failures and delays into its
// calls.
type Endpoint struct {
	store *Store

	mutex   sync.Mutex
	outcome Outcome
	delay   time.Duration
}

// NewEndpoint returns an endpoint that injects no failures.
func (s *Store) NewEndpoint() *Endpoint {
	return &Endpoint{store: s}
}

// SetOutcome sets the outcome of the following calls and the delay before it. Answered passes
// the calls to the store.
func (e *Endpoint) SetOutcome(o Outcome, slow time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.outcome, e.delay = o, slow
}

// Era returns the era of the store, which grows by one with each restore from a backup.
func (e *Endpoint) Era() api.Era {
	return e.store.Era()
}

// delayedOutcome waits for the delay and returns the outcome that is set for calls.
func (e *Endpoint) delayedOutcome() Outcome {
	e.mutex.Lock()
	o, slow := e.outcome, e.delay
	e.mutex.Unlock()
	time.Sleep(slow)
	return o
}

// List returns the page of a kind that follows a name.
func (e *Endpoint) List(kind, after string) (Page, Outcome) {
	if o := e.delayedOutcome(); o != Answered {
		return Page{}, o
	}
	return e.store.list(kind, after), Answered
}

// Watch waits for changes to objects of a kind after a revision.
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

// Create creates an object.
func (e *Endpoint) Create(x Entry) Outcome {
	if o := e.delayedOutcome(); o != Answered {
		return o
	}
	if !e.store.create(x) {
		return AlreadyExists
	}
	return Answered
}

// Delete deletes an object.
func (e *Endpoint) Delete(kind, name string) Outcome {
	if o := e.delayedOutcome(); o != Answered {
		return o
	}
	if !e.store.Delete(Entry{Kind: kind, Name: name}) {
		return NotFound
	}
	return Answered
}
