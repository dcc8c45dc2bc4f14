package port

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Signals is what a backend server announces about itself in the head of an answer.
type Signals struct {
	// Answered is set if the server sent an answer at all.
	Answered bool
	// Limited is set if the server announces a limit, and Limit is the number of requests per
	// second that it accepts from all entry VMs together. The limit applies for as long as the
	// answers announce it.
	Limited bool
	Limit   float64
	// Leaving is set if the server announces that it is about to end.
	Leaving bool
	// BackoffRequested is set if the server refused the request and asks this entry VM to send
	// no other request for a time, which is Backoff.
	BackoffRequested bool
	Backoff          time.Duration
	// Fragile is set if the server fails for a while once it has to refuse more than MaxRejections
	// requests of all entry VMs together in a second for lack of room.
	Fragile       bool
	MaxRejections float64
	// Unreadable is the text of a signal that could not be parsed; empty if there is none.
	Unreadable string
}

// SignalHeaders are the names of the headers for signals in a wire protocol.
type SignalHeaders struct {
	Limit, Leaving, Backoff, MaxRejections string
}

// leavingValue is the value of the leaving header of a server that is about to end.
const leavingValue = "1"

// Parse reads the signals from the head of an answer.
func (n SignalHeaders) Parse(status int, h http.Header) Signals {
	s := Signals{Answered: true, Leaving: h.Get(n.Leaving) == leavingValue}
	if x := h.Get(n.Limit); x != "" {
		s.Limit, s.Limited = parseNumber(x)
		if !s.Limited {
			s.Unreadable = x
		}
	}
	if x := h.Get(n.MaxRejections); x != "" {
		s.MaxRejections, s.Fragile = parseNumber(x)
		if !s.Fragile {
			s.Unreadable = x
		}
	}
	if x := h.Get(n.Backoff); x != "" && refusesForNow(status) {
		s.Backoff, s.BackoffRequested = parseBackoff(x)
		if !s.BackoffRequested {
			s.Unreadable = x
		}
	}
	return s
}

// refusesForNow reports whether a status means that the request was not run and may be
// retried later.
func refusesForNow(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// maxBackoff limits the backoff that a server may request. If the server needs longer, its
// answer to the first request afterwards requests a backoff again.
const maxBackoff = time.Minute

// parseBackoff parses a time in seconds.
func parseBackoff(x string) (time.Duration, bool) {
	n, ok := parseNumber(x)
	if !ok {
		return 0, false
	}
	return time.Duration(min(n, maxBackoff.Seconds()) * float64(time.Second)), true
}

// parseNumber parses a number that is not negative.
func parseNumber(x string) (float64, bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(x), 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return 0, false
	}
	return n, true
}
