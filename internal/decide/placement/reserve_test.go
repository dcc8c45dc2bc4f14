package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

func TestPrefillRateFollowsObservedTimes(t *testing.T) {
	const target = 2 * time.Second
	r := &placement.PrefillRate{}
	if got := r.MaxTokens(target); got != 0 {
		t.Errorf("rate unknown: got %d tokens, want no bound", got)
	}
	for range 50 {
		r.Record(3000, 500*time.Millisecond)
	}
	if got := r.MaxTokens(target); got < 7700 || got > 7900 {
		t.Errorf("at 6000 tokens a second: got %d tokens, want 7800, 0.65 of what is read within the target", got)
	}
	for range 200 {
		r.Record(3000, time.Second)
	}
	if got := r.MaxTokens(target); got < 3800 || got > 4000 {
		t.Errorf("after engines became slower: got %d tokens, want 3900", got)
	}
}

// servers returns servers of which some have just begun to leave, one began long before, and
// some stay.
func servers(now time.Time, leaving, staying int) []roster.Member {
	l := []roster.Member{member("old", "x", roster.Leaving)}
	l[0].Since = now.Add(-time.Minute)
	for range leaving {
		m := member("leaving", "x", roster.Leaving)
		m.Since = now
		l = append(l, m)
	}
	for range staying {
		l = append(l, member("staying", "x", roster.Ready))
	}
	return l
}

func TestReserveFollowsLeavingServers(t *testing.T) {
	r := &placement.Reserve{}
	all := r.MaxMemoryShare(begin)
	share := func(after time.Duration) float64 { return r.MaxMemoryShare(begin.Add(after)) / all }
	r.RecordLeave(begin, servers(begin, 1, 14))
	r.RecordLeave(begin, servers(begin, 3, 12))
	if got := share(0); got != 1 {
		t.Errorf("while runs find free memory: got %v of the memory, want all", got)
	}
	r.RecordShortage(begin)
	if got := share(0); got < 0.799 || got > 0.801 {
		t.Errorf("3 of 15 leave: got %v of the memory, want 0.8", got)
	}
	r.RecordLeave(begin.Add(time.Second), servers(begin.Add(time.Second), 1, 14))
	if got := share(time.Second); got > 0.82 {
		t.Errorf("a second later: got %v of the memory, want at most 0.82", got)
	}
	if got := share(time.Minute); got < 0.98 {
		t.Errorf("a minute later: got %v of the memory, want at least 0.98", got)
	}
	// Servers leave again, 15 s after a run found no engine.
	r.RecordShortage(begin.Add(45 * time.Second))
	r.RecordLeave(begin.Add(time.Minute), servers(begin.Add(time.Minute), 3, 12))
	if got := share(time.Minute); got < 0.899 || got > 0.901 {
		t.Errorf("15 s after a run found no engine: got %v of the memory, want 0.9", got)
	}
}

func TestShortAnswersAndRecentShortages(t *testing.T) {
	if !placement.IsShortAnswer(12) || placement.IsShortAnswer(900) {
		t.Error("short answers: got another result, want 12 tokens to be short and 900 not")
	}
	s := &placement.Shortage{}
	if s.Recent(begin) {
		t.Error("before any shortage: got a recent one, want none")
	}
	s.Record(begin)
	if !s.Recent(begin.Add(10*time.Second)) || s.Recent(begin.Add(time.Minute)) {
		t.Error("after a shortage: got another result, want it recent for 10 s and not for a minute")
	}
}

func TestPoolLimitsNewRuns(t *testing.T) {
	tests := []struct {
		name string
		pool placement.Pool
		load api.ServerLoad
		need placement.Requirements
		want bool
	}{
		{"free memory", placement.Pool{}, load(20000, 0), placement.Requirements{Tokens: 3000}, true},
		{"the memory is reserved", placement.Pool{MaxMemoryShare: 0.7}, load(22000, 0), placement.Requirements{Tokens: 3000}, false},
		{"there is free memory beside the reserve", placement.Pool{MaxMemoryShare: 0.8}, load(22000, 0), placement.Requirements{Tokens: 3000}, true},
		{"an idle engine takes what fits its memory", placement.Pool{MaxMemoryShare: 0.7}, api.ServerLoad{}, placement.Requirements{Tokens: 30000}, true},
		{"no engine takes more than its memory", placement.Pool{}, api.ServerLoad{}, placement.Requirements{Tokens: 40000}, false},
		{"too many unread tokens", placement.Pool{MaxUnread: 5000}, load(6000, 3000), placement.Requirements{Tokens: 3000, Unread: 3000}, false},
		{"few enough unread tokens", placement.Pool{MaxUnread: 6500}, load(6000, 3000), placement.Requirements{Tokens: 3000, Unread: 3000}, true},
		{"an engine with nothing to read takes any prompt", placement.Pool{MaxUnread: 2000}, load(6000, 0), placement.Requirements{Tokens: 3000, Unread: 3000}, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := placement.NewPicker(rand.NewPCG(1, 2))
			p.EngineLoads.Add("a", c.load)
			c.pool.Members = []roster.Member{member("a", "x", roster.Ready)}
			c.pool.Memory = 34000
			if _, got := p.Pick(begin, c.pool, c.need, nil); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
