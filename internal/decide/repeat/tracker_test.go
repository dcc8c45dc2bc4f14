package repeat_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/repeat"
)

var begin = time.Unix(100, 0)

func TestEarlierRequestsAreKnown(t *testing.T) {
	r := repeat.New(8)
	if got, ok := r.Begin(begin, "a"); ok {
		t.Errorf("first request: got %v, want no earlier one", got)
	}
	if got, _ := r.Begin(begin.Add(time.Second), "a"); got != (repeat.Earlier{Age: time.Second, UnderWay: 1}) {
		t.Errorf("second request beside the first: got %v, want one under way for 1s", got)
	}
	r.End("a")
	r.End("a")
	if got, ok := r.Begin(begin.Add(3*time.Second), "a"); !ok || got != (repeat.Earlier{Age: 2 * time.Second}) {
		t.Errorf("third request after both: got %v, want an earlier one from 2s before, none under way", got)
	}
	if got, ok := r.Begin(begin, "b"); ok {
		t.Errorf("request with another ID: got %v, want no earlier one", got)
	}
}

func TestEndedRequestsAreBounded(t *testing.T) {
	const limit = 4
	r := repeat.New(limit)
	r.Begin(begin, "under way")
	for i := range 100 {
		id := api.RequestID(fmt.Sprint(i))
		r.Begin(begin, id)
		r.End(id)
	}
	known := 0
	for i := range 100 {
		id := api.RequestID(fmt.Sprint(99 - i))
		if _, ok := r.Begin(begin, id); !ok {
			break
		}
		r.End(id)
		known++
	}
	if known < 1 || known > limit {
		t.Errorf("known requests that have ended: got %d, want 1 to %d", known, limit)
	}
	if got, ok := r.Begin(begin, "under way"); !ok || got.UnderWay != 1 {
		t.Errorf("request under way: got %v and %t, want it known", got, ok)
	}
}
