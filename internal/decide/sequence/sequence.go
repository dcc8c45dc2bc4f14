package sequence

import "strconv"

// Verdict says what to do with an event.
type Verdict int

// Verdicts.
const (
	// Deliver passes the event on.
	Deliver Verdict = iota
	// Drop leaves out an event that the caller already has.
	Drop
	// Gap means that events before this one are missing.
	Gap
)

// Sequence is what the caller of one stream has received.
type Sequence struct {
	lastID string
	// lastNumber and step are of the last event; step is zero until two events came.
	lastNumber int64
	step       int64
	// count is the number of events delivered.
	count int
	// resumed is set until the first event of a server that took the stream over.
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

// Resume notes that another server goes on with the stream.
func (s *Sequence) Resume() {
	s.resumed = true
}

// Accept judges an event by its id. Ids rise; where a stream is taken over, the
// next has to follow the last one as the ids before did. Ids that are no
// numbers can't be judged and are delivered.
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
