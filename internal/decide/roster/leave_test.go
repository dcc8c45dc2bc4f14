package roster_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/decide/roster"
)

// A server's own word that it leaves outlasts its entry, whatever that says and for how long.
func TestWordOfALeaveOutlastsTheEntry(t *testing.T) {
	ready, leaving := server("a", false), server("a", true)
	entries := func(l ...roster.Server) []roster.Server { return l }
	tests := []struct {
		name string
		do   func(r *roster.Roster)
		want roster.State
	}{
		{"an entry that was written before", func(r *roster.Roster) {
			r.MarkLeaving(at(10), "a")
			r.Update(at(20), entries(ready), false)
		}, roster.Leaving},
		{"an entry that stays as it is", func(r *roster.Roster) {
			r.MarkLeaving(at(10), "a")
			r.Expire(at(60_000))
			r.Update(at(60_010), entries(ready), false)
		}, roster.Leaving},
		{"an entry that said so first", func(r *roster.Roster) {
			r.Update(at(5), entries(leaving), false)
			r.MarkLeaving(at(10), "a")
			r.Update(at(20), entries(ready), false)
		}, roster.Leaving},
		{"an entry alone can take it back", func(r *roster.Roster) {
			r.Update(at(5), entries(leaving), false)
			r.Update(at(20), entries(ready), false)
		}, roster.Ready},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := settled()
			r.Update(at(0), entries(ready), false)
			c.do(r)
			if got := state(t, r, "a"); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Once its entry is gone, a server that said that it leaves is forgotten.
func TestWordOfALeaveEndsWithTheEntry(t *testing.T) {
	r := settled()
	r.Update(at(0), []roster.Server{server("a", false)}, false)
	r.MarkLeaving(at(10), "a")
	r.Update(at(20_000), nil, false)
	r.Expire(at(20_010))
	if _, ok := r.Find("a"); ok {
		t.Error("after its entry was removed: got it still, want it forgotten")
	}
}
