package retry_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/decide/retry"
)

func TestBudgetBoundsRetriesWhileAllFail(t *testing.T) {
	b := retry.New(100)
	got := 0
	const fresh = 10000
	for range fresh {
		b.CountFresh()
		// Every attempt fails, and is retried as often as the budget allows.
		for b.Allow() {
			got++
		}
	}
	if want := fresh/10 + 10; got > want {
		t.Errorf("retries: got %d, want at most %d", got, want)
	}
}

func TestZeroBudgetAllowsNone(t *testing.T) {
	b := retry.New(0)
	b.CountFresh()
	if got := b.Allow(); got {
		t.Errorf("Allow: got %v, want false", got)
	}
}
