package bandwidth_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/bandwidth"
)

// step is the time between two readings.
const step = 50 * time.Millisecond

// run records readings of a link with constant rates, in bytes per second, and returns the state's last
// time and totals.
func run(s *bandwidth.State, at time.Time, t bandwidth.Totals, d time.Duration, sent, received float64) (time.Time, bandwidth.Totals) {
	for range d / step {
		at = at.Add(step)
		t.Sent += int64(sent * step.Seconds())
		t.Received += int64(received * step.Seconds())
		s.Record(at, t)
	}
	return at, t
}

func TestStateFollowsTheBusierDirection(t *testing.T) {
	tests := []struct {
		name           string
		sent, received float64
		full           bool
	}{
		{"idle", 0, 0, false},
		{"both at half", 500e3, 500e3, false},
		{"sends", 950e3, 10e3, true},
		{"receives", 10e3, 950e3, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := bandwidth.New(bandwidth.FromMbps(8))
			run(s, time.Unix(0, 0), bandwidth.Totals{}, 2*time.Second, c.sent, c.received)
			if got, want := s.Full(), c.full; got != want {
				t.Errorf("full at use %.2f: got %v, want %v", s.Use(), got, want)
			}
		})
	}
}

func TestStateStaysFullUntilUseHasFallen(t *testing.T) {
	s := bandwidth.New(bandwidth.FromMbps(8))
	at, x := run(s, time.Unix(0, 0), bandwidth.Totals{}, 2*time.Second, 950e3, 0)
	at, x = run(s, at, x, 2*time.Second, 850e3, 0)
	if !s.Full() {
		t.Error("full at 85% after 95%: got false, want true")
	}
	run(s, at, x, 2*time.Second, 700e3, 0)
	if s.Full() {
		t.Error("full at 70%: got true, want false")
	}
}

func TestLinkOfUnknownBandwidthIsNeverFull(t *testing.T) {
	s := bandwidth.New(0)
	run(s, time.Unix(0, 0), bandwidth.Totals{}, 2*time.Second, 1e9, 1e9)
	if s.Full() || s.Use() != 0 {
		t.Errorf("state without a bandwidth: got full %v, use %v; want false, 0", s.Full(), s.Use())
	}
}
