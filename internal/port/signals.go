package port

import (
	"math"
	"net/http"
	"strconv"
)

// Signals is what a backend server says of itself in the head of an answer.
type Signals struct {
	// Answered is set where an answer of the server came at all.
	Answered bool
	// Limited is set where it names a limit, and Limit is that: the requests a second that it
	// takes from all entry VMs together, for as long as its answers say so.
	Limited bool
	Limit   float64
	// Unreadable is the text of a signal that could not be read; empty for none.
	Unreadable string
}

// SignalHeaders are a wire's names of the headers in which servers say something of
// themselves.
type SignalHeaders struct {
	Limit string
}

// Signals decodes what a server says in the head of an answer.
func (n SignalHeaders) Signals(h http.Header) Signals {
	s := Signals{Answered: true}
	if x := h.Get(n.Limit); x != "" {
		s.Limit, s.Limited = rate(x)
		if !s.Limited {
			s.Unreadable = x
		}
	}
	return s
}

// rate decodes a number of requests a second.
func rate(x string) (float64, bool) {
	n, err := strconv.ParseFloat(x, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return 0, false
	}
	return n, true
}
