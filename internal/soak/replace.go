package soak

import (
	"context"
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/standin/hosted"
)

const (
	// overloadedSlots are the slots of an overloaded server, and overloadedTime is how long it takes for an
	// answer. Together they are too few for the requests of the callers.
	overloadedSlots = 1
	overloadedTime  = 120 * time.Millisecond
)

// overloadStatuses are the statuses of overloaded servers, in turn. Each promises a caller that its request has
// not run.
var overloadStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}

// overloadFunc makes a server overloaded in a way that depends on an index.
type overloadFunc func(s *server, index int)

// replaceServers replaces the plain servers one after the other, again and again for a time, while all of them
// are overloaded.
func (b *testbed) replaceServers(ctx context.Context, d time.Duration, overload overloadFunc) {
	var l []*server
	for _, s := range b.servers {
		if s.service == plain {
			l = append(l, s)
		}
	}
	for i, s := range l {
		overload(s, i)
	}
	end := time.Now().Add(d)
	for i := 0; len(l) > 0 && time.Now().Before(end) && ctx.Err() == nil; i++ {
		s := l[i%len(l)]
		b.leaveServer(ctx, s, 0)
		overload(s, i)
	}
	for _, s := range l {
		x, _ := s.current()
		x.SetOverload(nil)
		x.DuplicateAnswers(false)
		b.recordError(x.SetSlots(slots))
	}
}

// overload makes a server overloaded, with the status at an index.
func (b *testbed) overload(s *server, status int) {
	x, _ := s.current()
	x.SetOverload(&hosted.Overload{AnswerTime: overloadedTime, Status: overloadStatuses[status%len(overloadStatuses)]})
	b.recordError(x.SetSlots(overloadedSlots))
}

// duplicateAnswers makes a server overloaded that proves that it did not run what it refuses, and that sends some of
// its answers a second time.
func (b *testbed) duplicateAnswers(s *server, _ int) {
	x, _ := s.current()
	x.SetOverload(&hosted.Overload{AnswerTime: overloadedTime})
	x.DuplicateAnswers(true)
	b.recordError(x.SetSlots(overloadedSlots))
}
