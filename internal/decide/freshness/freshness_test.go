package freshness_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/freshness"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestStaleViewIsNotUsableAfterAPause(t *testing.T) {
	v := freshness.New(epoch)
	resumed := epoch.Add(time.Minute)
	if got := v.Usable(resumed); got {
		t.Fatalf("first request after a pause: got usable, want not usable")
	}
	v.Confirm(epoch.Add(time.Second))
	if got := v.Usable(resumed); got {
		t.Errorf("confirmed by a query from before the pause ended: got usable, want not usable")
	}
	v.Confirm(resumed)
	if got := v.Usable(resumed); !got {
		t.Errorf("confirmed after the pause: got not usable, want usable")
	}
}

func TestStaleViewIsUsableAfterMaxWait(t *testing.T) {
	v := freshness.New(epoch)
	resumed := epoch.Add(time.Minute)
	v.Tick(resumed)
	now := resumed
	for now.Sub(resumed) < freshness.MaxWait {
		if got := v.Usable(now); got {
			t.Fatalf("after %v: got usable, want not usable", now.Sub(resumed))
		}
		now = now.Add(time.Second)
		v.Tick(now)
	}
	if got := v.Usable(now); !got {
		t.Errorf("after %v: got not usable, want usable", now.Sub(resumed))
	}
}

// A request that detects the pause first must not prevent Tick from requesting a query.
func TestTickQueriesUntilTheViewIsConfirmed(t *testing.T) {
	v := freshness.New(epoch)
	resumed := epoch.Add(time.Minute)
	v.Usable(resumed)
	if got := v.Tick(resumed); !got {
		t.Fatalf("tick after a request detected the pause: got no query, want one")
	}
	if got := v.Tick(resumed.Add(100 * time.Millisecond)); got {
		t.Errorf("tick right after a query: got another, want none")
	}
	if got := v.Tick(resumed.Add(time.Second)); !got {
		t.Errorf("tick a second after a query without an answer: got none, want another")
	}
	v.Confirm(resumed)
	if got := v.Tick(resumed.Add(2 * time.Second)); got {
		t.Errorf("tick of a confirmed view: got a query, want none")
	}
}
