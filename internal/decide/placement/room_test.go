package placement_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

func TestReadingIsLearned(t *testing.T) {
	r := &placement.Reading{}
	if got := r.Within(time.Second); got != 0 {
		t.Errorf("nothing known: got %d tokens, want no bound", got)
	}
	for range 50 {
		r.Note(3000, 500*time.Millisecond)
	}
	if got := r.Within(time.Second); got < 5900 || got > 6100 {
		t.Errorf("within a second: got %d tokens, want 6000", got)
	}
	for range 200 {
		r.Note(3000, time.Second)
	}
	if got := r.Within(time.Second); got < 2900 || got > 3100 {
		t.Errorf("after engines became slower: got %d tokens, want 3000", got)
	}
}

func TestReserveFollowsWhatLeaves(t *testing.T) {
	r := &placement.Reserve{}
	if got := r.Share(begin); got != 0 {
		t.Errorf("nothing left yet: got %v, want 0", got)
	}
	r.Note(begin, 1, 14)
	r.Note(begin, 3, 12)
	if got := r.Share(begin); got != 0.2 {
		t.Errorf("3 of 15 leave: got %v, want 0.2", got)
	}
	r.Note(begin.Add(time.Second), 1, 14)
	if got := r.Share(begin.Add(time.Second)); got < 0.18 {
		t.Errorf("a second later: got %v, want nearly 0.2", got)
	}
	if got := r.Share(begin.Add(time.Minute)); got > 0.02 {
		t.Errorf("a minute later: got %v, want nearly 0", got)
	}
}

func TestPoolBoundsNewRuns(t *testing.T) {
	tests := []struct {
		name string
		pool placement.Pool
		load api.ServerLoad
		need placement.Need
		want bool
	}{
		{"room for all", placement.Pool{}, load(20000, 0), placement.Need{Tokens: 3000}, true},
		{"the room is kept", placement.Pool{Room: 0.7}, load(22000, 0), placement.Need{Tokens: 3000}, false},
		{"there is room beside what is kept", placement.Pool{Room: 0.8}, load(22000, 0), placement.Need{Tokens: 3000}, true},
		{"an idle engine takes what fits in its memory", placement.Pool{Room: 0.7}, api.ServerLoad{}, placement.Need{Tokens: 30000}, true},
		{"nothing takes more than the memory", placement.Pool{}, api.ServerLoad{}, placement.Need{Tokens: 40000}, false},
		{"too much to read", placement.Pool{Unread: 5000}, load(6000, 3000), placement.Need{Tokens: 3000, Unread: 3000}, false},
		{"not too much to read", placement.Pool{Unread: 6500}, load(6000, 3000), placement.Need{Tokens: 3000, Unread: 3000}, true},
		{"an engine that reads nothing takes any prompt", placement.Pool{Unread: 2000}, load(6000, 0), placement.Need{Tokens: 3000, Unread: 3000}, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := placement.NewPicker(rand.NewPCG(1, 2))
			p.Table.Add("a", c.load)
			c.pool.Members = []roster.Member{member("a", "x", roster.Ready)}
			c.pool.Memory = 34000
			if _, got := p.Pick(begin, c.pool, c.need, nil); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

func TestPromised(t *testing.T) {
	p := placement.NewPicker(rand.NewPCG(1, 2))
	p.Table.Add("a", load(17000, 0))
	p.Table.Add("c", load(30000, 0))
	l := placement.Pool{Memory: 34000, Members: []roster.Member{member("a", "x", roster.Ready), member("b", "x", roster.Ready), member("c", "x", roster.Leaving)}}
	if got := p.Promised(begin, l); got != 0.25 {
		t.Errorf("got %v, want 0.25 of the servers that stay", got)
	}
}
