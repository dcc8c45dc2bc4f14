package limit_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/limit"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestRateLimitHoldsOverTime(t *testing.T) {
	l := limit.New()
	q := limit.Quota{RequestsPerSecond: 10, ConcurrentRequests: 1000}
	got := 0
	for i := range 10000 {
		if _, ok := l.Acquire(epoch.Add(time.Duration(i)*time.Millisecond), "w", q); ok {
			got++
			l.Release("w")
		}
	}
	if got < 100 || got > 111 {
		t.Errorf("admitted in 10 s at 10 a second: got %d, want 100 to 111", got)
	}
}

func TestRefusalReturnsRetryTime(t *testing.T) {
	l := limit.New()
	q := limit.Quota{RequestsPerSecond: 1, ConcurrentRequests: 10}
	l.Acquire(epoch, "w", q)
	d, ok := l.Acquire(epoch, "w", q)
	if ok || d != time.Second {
		t.Fatalf("second request: got %v, %v, want 1s, false", d, ok)
	}
	if _, ok := l.Acquire(epoch.Add(d), "w", q); !ok {
		t.Errorf("after the retry time: got refused, want admitted")
	}
}

func TestFleetExceedsLimitByLessThanItsSize(t *testing.T) {
	const members, bound = 9, 20
	got := 0
	for range members {
		l := limit.New()
		l.SetMembers(epoch, members)
		for range bound {
			if _, ok := l.Acquire(epoch, "w", limit.Quota{RequestsPerSecond: 1000, ConcurrentRequests: bound}); ok {
				got++
			}
		}
	}
	if got < bound || got >= bound+members {
		t.Errorf("concurrent requests over %d VMs: got %d, want from %d to below %d", members, got, bound, bound+members)
	}
}

// Entry VMs that are cut off from each other must not each admit what a quota allows for all.
func TestPartitionedVMsShareQuota(t *testing.T) {
	const members, bound = 6, 24
	got := 0
	for range members {
		l := limit.New()
		l.SetMembers(epoch, members)
		l.SetMembers(epoch.Add(3*time.Second), 1)
		for range bound {
			if _, ok := l.Acquire(epoch.Add(4*time.Second), "w", limit.Quota{RequestsPerSecond: 1000, ConcurrentRequests: bound}); ok {
				got++
			}
		}
	}
	if got >= bound+members {
		t.Errorf("concurrent requests over %d VMs: got %d, want below %d", members, got, bound+members)
	}
}
