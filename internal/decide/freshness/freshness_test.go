package freshness_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/freshness"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestFrozenVMDoesNotServeByItsOldView(t *testing.T) {
	v := freshness.New(epoch)
	woke := epoch.Add(time.Minute)
	if got := v.Usable(woke); got {
		t.Fatalf("first request after a freeze: got usable, want not")
	}
	v.Confirm(epoch.Add(time.Second))
	if got := v.Usable(woke); got {
		t.Errorf("confirmed by a question from before the freeze ended: got usable, want not")
	}
	v.Confirm(woke)
	if got := v.Usable(woke); !got {
		t.Errorf("confirmed after the freeze: got not usable, want usable")
	}
}

func TestVMCutOffFromAllServesInTheEnd(t *testing.T) {
	v := freshness.New(epoch)
	woke := epoch.Add(time.Minute)
	v.Tick(woke)
	now := woke
	for now.Sub(woke) < freshness.MaxWait {
		if got := v.Usable(now); got {
			t.Fatalf("after %v: got usable, want not", now.Sub(woke))
		}
		now = now.Add(time.Second)
		v.Tick(now)
	}
	if got := v.Usable(now); !got {
		t.Errorf("after %v: got not usable, want usable", now.Sub(woke))
	}
}

// A request that notices the jump first must not keep the beat from asking.
func TestBeatAsksUntilTheViewIsConfirmed(t *testing.T) {
	v := freshness.New(epoch)
	woke := epoch.Add(time.Minute)
	v.Usable(woke)
	if got := v.Tick(woke); !got {
		t.Fatalf("beat after a request noticed the jump: got no question, want one")
	}
	if got := v.Tick(woke.Add(100 * time.Millisecond)); got {
		t.Errorf("beat right after a question: got another, want none")
	}
	if got := v.Tick(woke.Add(time.Second)); !got {
		t.Errorf("beat a second after a question without an answer: got none, want another")
	}
	v.Confirm(woke)
	if got := v.Tick(woke.Add(2 * time.Second)); got {
		t.Errorf("beat of a confirmed view: got a question, want none")
	}
}
