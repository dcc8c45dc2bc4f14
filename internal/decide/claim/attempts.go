package claim

import "github.com/wardridge/wardridge/internal/api"

// attempt is how far an attempt of this life of the entry VM has come.
type attempt int

const (
	pending attempt = iota
	sent
)

// Attempts knows which claimed requests of this life were sent. A request is
// added before its claim is written and stays until its outcome is recorded,
// so one that is not known was never sent or has its outcome recorded.
type Attempts struct {
	incarnation api.Incarnation
	states      map[api.RequestID]attempt
}

// NewAttempts makes the attempts of one life.
func NewAttempts(i api.Incarnation) *Attempts {
	return &Attempts{incarnation: i, states: map[api.RequestID]attempt{}}
}

// Add notes an attempt whose claim is about to be written.
func (a *Attempts) Add(r api.RequestID) {
	a.states[r] = pending
}

// Send reports whether the attempt may be sent, and notes that it is. It has
// to be asked at the last moment before the send.
func (a *Attempts) Send(r api.RequestID) bool {
	s, ok := a.states[r]
	if !ok || s != pending {
		return false
	}
	a.states[r] = sent
	return true
}

// Remove forgets an attempt that was not sent or whose outcome is recorded.
func (a *Attempts) Remove(r api.RequestID) {
	delete(a.states, r)
}

// Release gives an attempt up for another entry VM and reports whether it was
// not sent and never will be. Another life's attempts can't be answered for.
func (a *Attempts) Release(r api.RequestID, i api.Incarnation) bool {
	if i != a.incarnation {
		return false
	}
	if s, ok := a.states[r]; ok && s == sent {
		return false
	}
	delete(a.states, r)
	return true
}

// Len counts the attempts kept.
func (a *Attempts) Len() int {
	return len(a.states)
}
