package credit_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/credit"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestGrantsStayWithinTheMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := credit.New(epoch, 1000, time.Second)
		now := epoch.Add(time.Second)
		held := map[api.VMName]api.Tokens{}
		for range rapid.IntRange(1, 60).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			vm := rapid.SampledFrom([]api.VMName{"a", "b", "c"}).Draw(t, "vm")
			g := a.Ask(now, credit.Ask{VM: vm, Held: held[vm], Want: api.Tokens(rapid.IntRange(0, 1500).Draw(t, "want"))})
			// A VM fills its grant and no more.
			held[vm] = api.Tokens(rapid.IntRange(0, int(g.Amount)).Draw(t, "held"))
			if got := a.Granted(now); got > 1000 {
				t.Fatalf("granted: got %d, want at most 1000", got)
			}
			for n := range held {
				if n != vm && rapid.IntRange(0, 5).Draw(t, "ends") == 0 {
					held[n] = 0
				}
			}
		}
	})
}

func TestNewArbiterWaitsOutTheOneBefore(t *testing.T) {
	a := credit.New(epoch, 1000, time.Second)
	if got := a.Ask(epoch, credit.Ask{VM: "a", Held: 100, Want: 500}).Amount; got != 100 {
		t.Errorf("at once: got %d, want only the 100 held", got)
	}
	if got := a.Ask(epoch.Add(time.Second), credit.Ask{VM: "a", Held: 100, Want: 500}).Amount; got != 600 {
		t.Errorf("after a life: got %d, want 600", got)
	}
}
