package sequence

import "strconv"

// Verdict says what to do with an event.
type Verdict int

// Verdicts on events.
const (
	// Deliver means that the event is passed on to the caller.
	Deliver Verdict = iota
	// Drop means that the caller already has the event.
	Drop
	// Gap means that events before this one are missing.
	Gap
)

// Sequence tracks which events of one stream the caller has received. The zero value is
// ready to use.
type Sequence struct {
	lastID string
	// lastNumber is the id of the last event as a number, and step its difference from
	// the id before, zero until two events were delivered.
	lastNumber int64
	step       int64
	// count is the number of events delivered.
	count int
	// resumed is set from a resume until the next event is delivered.
	resumed bool
}

// LastID is the id of the last event delivered.
func (s *Sequence) LastID() string {
	return s.lastID
}

// Count is the number of events delivered.
func (s *Sequence) Count() int {
	return s.count
}

// Resume records that another server resumes the stream.
func (s *Sequence) Resume() {
	s.resumed = true
}

// Accept decides by its id what to do with the next event, and records the event if it is
// to be delivered. Events whose ids do not rise are dropped. After a resume, an id that is
// further from the last one than the step before means a gap. Events whose ids are not
// numbers are always delivered.
func (s *Sequence) Accept(id string) Verdict {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		s.deliver(id)
		return Deliver
	}
	if s.count > 0 && n <= s.lastNumber {
		return Drop
	}
	if s.resumed && s.count > 0 && n > s.lastNumber+max(s.step, 1) {
		return Gap
	}
	if s.count > 0 {
		s.step = n - s.lastNumber
	}
	s.lastNumber = n
	s.deliver(id)
	return Deliver
}

func (s *Sequence) deliver(id string) {
	s.lastID = id
	s.count++
	s.resumed = false
}
