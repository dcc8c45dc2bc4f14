package roster_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/decide/roster"
)

// A leave that the server itself has announced holds whatever its entry says, and for however long.
func TestAnnouncedLeaveOutlastsTheEntry(t *testing.T) {
	ready, leaving := server("a", false), server("a", true)
	entries := func(l ...roster.Server) []roster.Server { return l }
	tests := []struct {
		name string
		do   func(r *roster.Roster)
		want roster.State
	}{
		{"an entry that was written before the announcement", func(r *roster.Roster) {
			r.MarkLeaving(at(10), "a")
			r.Update(at(20), entries(ready), false)
		}, roster.Leaving},
		{"an entry that never changes", func(r *roster.Roster) {
			r.MarkLeaving(at(10), "a")
			r.Expire(at(60_000))
			r.Update(at(60_010), entries(ready), false)
		}, roster.Leaving},
		{"an entry that was draining before", func(r *roster.Roster) {
			r.Update(at(5), entries(leaving), false)
			r.MarkLeaving(at(10), "a")
			r.Update(at(20), entries(ready), false)
		}, roster.Leaving},
		{"a leave by the entry alone is revoked by the entry", func(r *roster.Roster) {
			r.Update(at(5), entries(leaving), false)
			r.Update(at(20), entries(ready), false)
		}, roster.Ready},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			r.Update(at(0), entries(ready), false)
			c.do(r)
			if got := state(t, r, "a"); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Once its entry is removed, a server that has announced its leave is removed.
func TestAnnouncedLeaveEndsWithTheEntry(t *testing.T) {
	r := newRoster()
	r.Update(at(0), []roster.Server{server("a", false)}, false)
	r.MarkLeaving(at(10), "a")
	r.Update(at(20_000), nil, false)
	r.Expire(at(20_010))
	if _, ok := r.Find("a"); ok {
		t.Error("after its entry was removed: got the server, want none")
	}
}
