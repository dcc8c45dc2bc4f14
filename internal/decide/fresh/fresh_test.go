package fresh_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/fresh"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestFrozenVMDoesNotServeByItsOldView(t *testing.T) {
	v := fresh.New(epoch)
	woke := epoch.Add(time.Minute)
	if got := v.Usable(woke); got {
		t.Fatalf("first request after a freeze: got usable, want not")
	}
	v.Confirmed(epoch.Add(time.Second))
	if got := v.Usable(woke); got {
		t.Errorf("confirmed by a question from before the freeze ended: got usable, want not")
	}
	v.Confirmed(woke)
	if got := v.Usable(woke); !got {
		t.Errorf("confirmed after the freeze: got not usable, want usable")
	}
}

func TestVMCutOffFromAllServesInTheEnd(t *testing.T) {
	v := fresh.New(epoch)
	woke := epoch.Add(time.Minute)
	v.Beat(woke)
	now := woke
	for now.Sub(woke) < fresh.Patience {
		if got := v.Usable(now); got {
			t.Fatalf("after %v: got usable, want not", now.Sub(woke))
		}
		now = now.Add(time.Second)
		v.Beat(now)
	}
	if got := v.Usable(now); !got {
		t.Errorf("after %v: got not usable, want usable", now.Sub(woke))
	}
}
