package port

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Signals is what a backend server says of itself in the head of an answer.
type Signals struct {
	// Answered is set where an answer of the server came at all.
	Answered bool
	// Limited is set where it names a limit, and Limit is that: the requests a second that it
	// takes from all entry VMs together, for as long as its answers say so.
	Limited bool
	Limit   float64
	// Leaving is set where it says that it is about to end.
	Leaving bool
	// BackoffRequested is set where it turned the request away and wants no other one from this entry VM
	// for a time, and Rest is that.
	BackoffRequested bool
	Backoff          time.Duration
	// Unreadable is the text of a signal that could not be read; empty for none.
	Unreadable string
}

// SignalHeaders are a wire's names of the headers in which servers say something of
// themselves.
type SignalHeaders struct {
	Limit, Leaving, Backoff string
}

// leavingValue says that a server leaves.
const leavingValue = "1"

// Parse decodes what a server says in the head of an answer.
func (n SignalHeaders) Parse(status int, h http.Header) Signals {
	s := Signals{Answered: true, Leaving: h.Get(n.Leaving) == leavingValue}
	if x := h.Get(n.Limit); x != "" {
		s.Limit, s.Limited = parseNumber(x)
		if !s.Limited {
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

// refusesForNow reports whether a status says that a request was not run for now.
func refusesForNow(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// maxBackoff bounds the rest that a server may ask for: a longer one is asked for again by the
// first request after it.
const maxBackoff = time.Minute

// parseBackoff decodes a time in seconds.
func parseBackoff(x string) (time.Duration, bool) {
	n, ok := parseNumber(x)
	if !ok {
		return 0, false
	}
	return time.Duration(min(n, maxBackoff.Seconds()) * float64(time.Second)), true
}

// parseNumber decodes a parseNumber that is not below zero.
func parseNumber(x string) (float64, bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(x), 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
		return 0, false
	}
	return n, true
}
