package lease_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/lease"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var timing = lease.Timing{Duration: 6 * time.Second, Skew: time.Second}

// store is the platform's lease object, written by conditional updates.
type store struct {
	exists  bool
	spec    api.LeaseSpec
	version api.Version
}

func (s *store) write(a lease.Action) bool {
	if a.Version != s.version {
		return false
	}
	s.exists = true
	s.spec = a.Spec
	s.version++
	return true
}

func (s *store) read(now time.Time, l *lease.Lease) {
	l.HandleRead(now, lease.Object{Exists: s.exists, Spec: s.spec, Version: s.version})
}

// step carries out the next action of a lease, with an immediate answer.
func (s *store) step(now time.Time, l *lease.Lease) {
	a := l.Step(now)
	switch a.Kind {
	case lease.Read:
		s.read(now, l)
	case lease.Write:
		if s.write(a) {
			l.HandleWritten(s.version)
		} else {
			l.Invalidate()
		}
	}
}

func checkHeld(t *testing.T, l *lease.Lease, now time.Time, want bool) {
	t.Helper()
	if _, got := l.Held(now); got != want {
		t.Errorf("held at %v: got %v, want %v", now.Sub(epoch), got, want)
	}
}

func TestHoldIsCountedFromSendOfRenewal(t *testing.T) {
	s := &store{}
	l := lease.New(lease.Owner{VM: "a"}, timing)
	s.step(epoch, l)
	a := l.Step(epoch)
	s.write(a)
	// The answer arrives four seconds after the send; the hold still ends six seconds after it.
	l.HandleWritten(s.version)
	checkHeld(t, l, epoch.Add(4*time.Second), true)
	checkHeld(t, l, epoch.Add(6*time.Second), false)
}

func TestWriteWithLostAnswerIsReadBack(t *testing.T) {
	s := &store{}
	l := lease.New(lease.Owner{VM: "a"}, timing)
	s.step(epoch, l)
	s.write(l.Step(epoch))
	l.Invalidate()
	checkHeld(t, l, epoch, false)
	s.step(epoch.Add(2*time.Second), l)
	checkHeld(t, l, epoch.Add(3*time.Second), true)
	checkHeld(t, l, epoch.Add(6*time.Second), false)
}

func TestOthersWaitUntilHoldExpires(t *testing.T) {
	s := &store{}
	a := lease.New(lease.Owner{VM: "a"}, timing)
	b := lease.New(lease.Owner{VM: "b"}, timing)
	s.step(epoch, a)
	s.step(epoch, a)
	for d := time.Duration(0); d < 20*time.Second; d += 100 * time.Millisecond {
		now := epoch.Add(d)
		s.step(now, b)
		_, x := a.Held(now)
		_, y := b.Held(now)
		if x && y {
			t.Fatalf("at %v: got two holders, want at most one", d)
		}
	}
	checkHeld(t, b, epoch.Add(20*time.Second), true)
	if got, want := s.spec.Fence, api.Fence(2); got != want {
		t.Errorf("fence: got %d, want %d", got, want)
	}
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	s := &store{}
	a := lease.New(lease.Owner{VM: "a"}, timing)
	b := lease.New(lease.Owner{VM: "b"}, timing)
	s.step(epoch, a)
	s.step(epoch, a)
	s.step(epoch, b)
	a.SetWanted(false)
	s.step(epoch, a)
	checkHeld(t, a, epoch, false)
	now := epoch.Add(3 * time.Second)
	s.step(now, b)
	s.step(now, b)
	checkHeld(t, b, now, true)
}

// Two candidates with lost answers, failed writes, pauses and restarts must never hold the
// lease at the same time.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{}
		var inc api.Incarnation
		candidates := []*lease.Lease{
			lease.New(lease.Owner{VM: "a"}, timing),
			lease.New(lease.Owner{VM: "b"}, timing),
		}
		now := epoch
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "who")
			l := candidates[i]
			switch rapid.SampledFrom([]string{"step", "step", "step", "lost", "failed", "restart"}).Draw(t, "what") {
			case "step":
				s.step(now, l)
			case "lost":
				if a := l.Step(now); a.Kind == lease.Write {
					s.write(a)
					l.Invalidate()
				}
			case "failed":
				if a := l.Step(now); a.Kind == lease.Write {
					l.Invalidate()
				}
			case "restart":
				inc++
				candidates[i] = lease.New(lease.Owner{VM: api.VMName([]string{"a", "b"}[i]), Incarnation: inc}, timing)
			}
			_, a := candidates[0].Held(now)
			_, b := candidates[1].Held(now)
			if a && b {
				t.Fatalf("got two holders, want at most one")
			}
		}
	})
}
