package fence_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/fence"
)

const patience = 3 * time.Second

func TestVerdict(t *testing.T) {
	for _, c := range []struct {
		name       string
		responsive bool
		outcomes   []fence.Outcome
		queried    bool
		after      time.Duration
		want       fence.Verdict
		stopped    bool
		suspended  bool
	}{
		{"no answer yet", true, nil, false, 0, fence.Wait, false, false},
		{"confirmed", true, []fence.Outcome{fence.Stopped}, false, 0, fence.Continue, true, false},
		{"confirmed after failures", true, []fence.Outcome{fence.Unconfirmed, fence.Unconfirmed, fence.Stopped}, false, 0, fence.Continue, true, false},
		{"one connection refused", true, []fence.Outcome{fence.Refused}, false, 0, fence.Wait, false, false},
		{"two connections refused", true, []fence.Outcome{fence.Refused, fence.Refused}, false, 0, fence.Continue, false, true},
		{"one connection failed", true, []fence.Outcome{fence.Unreached}, false, 0, fence.Wait, false, false},
		{"two connections failed", true, []fence.Outcome{fence.Unreached, fence.Unreached}, false, 0, fence.Continue, false, true},
		{"connections failed before and after an answer", true, []fence.Outcome{fence.Unreached, fence.Unconfirmed, fence.Unreached}, false, 0, fence.Wait, false, false},
		{"refused", true, []fence.Outcome{fence.Unconfirmed, fence.Unconfirmed, fence.Unconfirmed}, false, patience - 1, fence.Wait, false, false},
		{"refused for as long as the caller waits", true, []fence.Outcome{fence.Unconfirmed}, false, patience, fence.Abandon, false, false},
		{"no answer to a query in a pause", true, nil, true, time.Second - 1, fence.Wait, false, false},
		{"no answer to a query after a pause", true, nil, true, time.Second, fence.Continue, false, false},
		{"known not to answer", false, nil, false, 0, fence.Continue, false, false},
		{"never confirmed", false, []fence.Outcome{fence.Unconfirmed}, false, time.Minute, fence.Continue, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := fence.New(begin, patience, time.Second, c.responsive)
			for _, o := range c.outcomes {
				f.RecordSent()
				f.RecordOutcome(o)
			}
			if c.queried {
				f.RecordUnresponsive(begin.Add(c.after))
			}
			now := begin.Add(c.after)
			if got := f.Verdict(now); got != c.want {
				t.Errorf("verdict: got %v, want %v", got, c.want)
			}
			if got := f.Stopped(); got != c.stopped {
				t.Errorf("stopped: got %v, want %v", got, c.stopped)
			}
			if got := f.Suspended(now); got != c.suspended {
				t.Errorf("suspended: got %v, want %v", got, c.suspended)
			}
		})
	}
}

// A server that refuses orders, or can't be reached, must not be sent one after the other without a pause, nor work on for
// long once it obeys.
func TestOrdersAreRepeatedAfterAPause(t *testing.T) {
	for _, c := range []struct {
		outcome    fence.Outcome
		maxDelay   time.Duration
		least, max int
	}{
		{fence.Unreached, 400 * time.Millisecond, 20, 60},
		{fence.Unconfirmed, 400 * time.Millisecond, 20, 60},
		{fence.Refused, time.Second, 8, 15},
	} {
		f, o := fence.New(begin, patience, time.Second, true), c.outcome
		now, n := begin, 0
		for now.Sub(begin) < 10*time.Second {
			n++
			var d time.Duration
			if f.Suspended(now) {
				d = fence.ProbeDelay(o)
			} else {
				f.RecordSent()
				d = f.RecordOutcome(o)
			}
			if d > c.maxDelay {
				t.Errorf("pause after order %d with outcome %v: got %v, want at most %v", n, o, d, c.maxDelay)
			}
			now = now.Add(d)
		}
		if n < c.least || n > c.max {
			t.Errorf("orders with outcome %v: got %d, want %d to %d", o, n, c.least, c.max)
		}
	}
}

func TestPatience(t *testing.T) {
	for _, c := range []struct{ latency, gap, want time.Duration }{
		{0, 0, 2 * time.Second},
		{1800 * time.Millisecond, 180 * time.Millisecond, 7200 * time.Millisecond},
		{100 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second},
	} {
		if got := fence.Patience(c.latency, c.gap); got != c.want {
			t.Errorf("patience with targets %v and %v: got %v, want %v", c.latency, c.gap, got, c.want)
		}
	}
}

// A server that accepts connections and answers nothing must not be sent more orders than it has connections for.
func TestUnansweredOrdersAreBounded(t *testing.T) {
	f := fence.New(begin, patience, time.Second, true)
	n := 0
	for f.MaySend() && n < 100 {
		f.RecordSent()
		n++
	}
	if n != 3 {
		t.Errorf("orders without an answer: got %d, want 3", n)
	}
	f.RecordOutcome(fence.Unconfirmed)
	if !f.MaySend() {
		t.Error("after one has an outcome: got no further order, want one")
	}
}
