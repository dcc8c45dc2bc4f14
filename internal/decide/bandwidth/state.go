package bandwidth

import "time"

const (
	// fullUse is the part of the capacity at which a link counts as full, and clearUse the part below which
	// it no longer does.
	fullUse  = 0.9
	clearUse = 0.8
)

// State tracks whether a link is full.
type State struct {
	capacity BytesPerSecond
	meter    Meter
	full     bool
}

// New returns the state of a link that carries a rate each way; zero for a link without a known bound,
// which is never full.
func New(capacity BytesPerSecond) *State {
	return &State{capacity: capacity}
}

// Record adds a reading of the totals. It reports whether the link is full since then, or no longer is.
func (s *State) Record(now time.Time, t Totals) (changed bool) {
	s.meter.Record(now, t)
	before := s.full
	switch u := s.Use(); {
	case u >= fullUse:
		s.full = true
	case u < clearUse:
		s.full = false
	}
	return s.full != before
}

// Full reports whether the link is full.
func (s *State) Full() bool {
	return s.full
}

// Use returns the part of the capacity that is used in the busier direction.
func (s *State) Use() float64 {
	if s.capacity <= 0 {
		return 0
	}
	sent, received := s.meter.Rate()
	return float64(max(sent, received) / s.capacity)
}

// Rate returns the rates each way.
func (s *State) Rate() (sent, received BytesPerSecond) {
	return s.meter.Rate()
}
