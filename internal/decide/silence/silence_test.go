package silence_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/silence"
)

const gap = 180 * time.Millisecond

func TestQueryDelay(t *testing.T) {
	w := silence.NewWatch(gap, 0)
	if got, want := w.QueryDelay(0), gap/2; got != want {
		t.Errorf("first delay: got %v, want %v", got, want)
	}
	if got := w.QueryDelay(0) + w.QueryTimeout(); got >= gap {
		t.Errorf("delay and timeout: got %v, want time left to resume within %v", got, gap)
	}
	w.RecordQuery()
	if got, want := w.QueryDelay(0), gap; got != want {
		t.Errorf("delay after a query: got %v, want %v", got, want)
	}
	for range 100 {
		w.RecordQuery()
	}
	if got, want := w.QueryDelay(0), 2*time.Second; got != want {
		t.Errorf("delay after a hundred queries: got %v, want %v", got, want)
	}
	w.RecordEvent()
	if got, want := w.QueryDelay(0), gap/2; got != want {
		t.Errorf("delay after an event: got %v, want %v", got, want)
	}
	if got := silence.NewWatch(0, 0).QueryDelay(0); got <= 0 || got > time.Second {
		t.Errorf("delay without a gap: got %v, want more than 0 and at most 1 s", got)
	}
}

func TestDecide(t *testing.T) {
	produced := func(n int) silence.QueryResult {
		return silence.QueryResult{Answered: true, Produced: map[api.RequestID]int{"r": n}}
	}
	none := silence.QueryResult{}
	stream := silence.Stream{Request: "r", Delivered: 10, SilentFor: time.Second, HasBackup: true}
	with := func(change func(s *silence.Stream)) silence.Stream {
		s := stream
		change(&s)
		return s
	}
	for _, c := range []struct {
		name   string
		stream silence.Stream
		answer silence.QueryResult
		want   silence.Verdict
	}{
		{"no answer, backup copy", stream, none, silence.Abandon},
		{"no answer, backup copy, within the pause of a sound server", with(func(s *silence.Stream) { s.Pause = 1500 * time.Millisecond }), none, silence.Wait},
		{"no answer, backup copy, after the pause of a sound server", with(func(s *silence.Stream) { s.Pause = time.Second }), none, silence.Abandon},
		{"no answer, no backup copy", with(func(s *silence.Stream) { s.HasBackup = false }), none, silence.Wait},
		{"query exceeded its timeout", stream, silence.QueryResult{Overrun: time.Second}, silence.Wait},
		{"slow server", stream, produced(10), silence.Wait},
		{"one event in transit", stream, produced(11), silence.Wait},
		{"events are produced but don't arrive", stream, produced(30), silence.Fetch},
		{"events don't arrive, short silence", with(func(s *silence.Stream) { s.SilentFor = gap }), produced(30), silence.Wait},
		{"run missing in the answer", stream, silence.QueryResult{Answered: true}, silence.Wait},
	} {
		if got := silence.Decide(c.stream, c.answer); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestProcessStalled(t *testing.T) {
	for d, want := range map[time.Duration]bool{-time.Second: false, 5 * time.Millisecond: false, 50 * time.Millisecond: true} {
		if got := silence.ProcessStalled(d); got != want {
			t.Errorf("late %v: got %v, want %v", d, got, want)
		}
	}
}

func TestProcessBehind(t *testing.T) {
	for _, c := range []struct {
		late   time.Duration
		unread bool
		want   bool
	}{
		{0, false, false},
		{250 * time.Millisecond, false, false},
		{time.Second, false, true},
		{0, true, true},
	} {
		if got := silence.ProcessBehind(c.late, c.unread); got != c.want {
			t.Errorf("late %v, unread bytes %v: got %v, want %v", c.late, c.unread, got, c.want)
		}
	}
}

func TestCachedResultsExpire(t *testing.T) {
	now := time.Now()
	k := silence.NewResultCache()
	k.Put("up", silence.QueryResult{At: now, Answered: true})
	k.Put("down", silence.QueryResult{At: now})
	for _, c := range []struct {
		server api.ServerName
		after  time.Duration
		want   bool
	}{
		{"up", 200 * time.Millisecond, true},
		{"up", time.Second, false},
		{"down", 50 * time.Millisecond, true},
		{"down", 200 * time.Millisecond, false},
		{"unknown", 0, false},
	} {
		if _, got := k.Get(now.Add(c.after), c.server); got != c.want {
			t.Errorf("%s after %v: got %v, want %v", c.server, c.after, got, c.want)
		}
	}
	k.Forget(func(n api.ServerName) bool { return n == "down" })
	if _, got := k.Get(now, "up"); got {
		t.Error("server that was forgotten: got a result, want none")
	}
}

// A server whose pause ends must be queried then, however many queries it has not answered.
func TestServerIsQueriedAtTheEndOfItsPause(t *testing.T) {
	w := silence.NewWatch(gap, 1500*time.Millisecond)
	for range 5 {
		w.RecordQuery()
	}
	if got, want := w.QueryDelay(1300*time.Millisecond), 200*time.Millisecond; got != want {
		t.Errorf("within the pause: got %v, want %v", got, want)
	}
	if got, want := w.QueryDelay(1500*time.Millisecond), 2*time.Second; got != want {
		t.Errorf("after the pause: got %v, want %v", got, want)
	}
}
