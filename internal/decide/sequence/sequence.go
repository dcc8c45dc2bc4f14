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
	last string
	// number and step are of the last event; step is zero until two events came.
	number int64
	step   int64
	// count is the number of events delivered.
	count int
	// joined is set until the first event of a server that took the stream over.
	joined bool
}

// Last is the id of the last event delivered.
func (s *Sequence) Last() string {
	return s.last
}

// Count is the number of events delivered.
func (s *Sequence) Count() int {
	return s.count
}

// Join notes that another server goes on with the stream.
func (s *Sequence) Join() {
	s.joined = true
}

// Take judges an event by its id. Ids rise; where a stream is taken over, the
// next has to follow the last one as the ids before did. Ids that are no
// numbers can't be judged and are delivered.
func (s *Sequence) Take(id string) Verdict {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		s.deliver(id)
		return Deliver
	}
	if s.count > 0 && n <= s.number {
		return Drop
	}
	if s.joined && s.count > 0 && n > s.number+max(s.step, 1) {
		return Gap
	}
	if s.count > 0 {
		s.step = n - s.number
	}
	s.number = n
	s.deliver(id)
	return Deliver
}

func (s *Sequence) deliver(id string) {
	s.last = id
	s.count++
	s.joined = false
}
