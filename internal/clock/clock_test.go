package clock_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/clock"
)

func TestBootClockIsMonotonic(t *testing.T) {
	last := clock.Boot()
	for range 1000 {
		now := clock.Boot()
		if now.Before(last) {
			t.Fatalf("boot clock: got %v after %v", now, last)
		}
		last = now
	}
}
