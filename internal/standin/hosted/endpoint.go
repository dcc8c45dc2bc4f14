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
	// Cut calls lose their connection.
	Cut
	// Forgotten calls ask for changes that are no longer kept.
	Forgotten
	// Present calls make an object that is there, Missing ones remove one that is not.
	Present
	Missing
)

// Endpoint is the store as one caller of it meets it.
type Endpoint struct {
	store *Store

	mutex   sync.Mutex
	outcome Outcome
	slow    time.Duration
}

// NewEndpoint makes an endpoint that answers.
func (s *Store) NewEndpoint() *Endpoint {
	return &Endpoint{store: s}
}

// Set changes what becomes of calls, and by how much they are held back.
func (e *Endpoint) Set(o Outcome, slow time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.outcome, e.slow = o, slow
}

// Era counts how often the store came back from a copy.
func (e *Endpoint) Era() api.Era {
	return e.store.Era()
}

// take holds a call back and gives what becomes of it.
func (e *Endpoint) take() Outcome {
	e.mutex.Lock()
	o, slow := e.outcome, e.slow
	e.mutex.Unlock()
	time.Sleep(slow)
	return o
}

// List gives a page of a kind behind a name.
func (e *Endpoint) List(kind, after string) (Page, Outcome) {
	if o := e.take(); o != Answered {
		return Page{}, o
	}
	return e.store.list(kind, after), Answered
}

// Watch waits for the changes of a kind after a revision.
func (e *Endpoint) Watch(ctx context.Context, kind string, from api.Revision, wait time.Duration) (Changes, Outcome) {
	if o := e.take(); o != Answered {
		return Changes{}, o
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		c, wake, ok := e.store.since(kind, from)
		if !ok {
			return c, Forgotten
		}
		if len(c.Items) > 0 {
			return c, Answered
		}
		select {
		case <-wake:
		case <-end.C:
			return c, Answered
		case <-ctx.Done():
			return c, Cut
		}
	}
}

// Create makes an object.
func (e *Endpoint) Create(x Entry) Outcome {
	if o := e.take(); o != Answered {
		return o
	}
	if !e.store.create(x) {
		return Present
	}
	return Answered
}

// Delete removes an object.
func (e *Endpoint) Delete(kind, name string) Outcome {
	if o := e.take(); o != Answered {
		return o
	}
	if !e.store.Drop(Entry{Kind: kind, Name: name}) {
		return Missing
	}
	return Answered
}
