package roster_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// Entries of a store that was restored from a backup may contradict what is known of a server.
func TestEntriesAfterRestore(t *testing.T) {
	a, leaving := server("a", false), server("a", true)
	entries := func(l ...roster.Server) []roster.Server { return l }
	tests := []struct {
		name string
		// before runs in the first era; restored holds the entries of the second one, from 20,000 ms on.
		before   func(r *roster.Roster)
		restored []roster.Server
		// later holds the entries at ms after that, followed by a call of Expire.
		at    int
		later []roster.Server
		want  roster.State
	}{
		{"entry written after the backup: missing is not a leave", func(r *roster.Roster) { r.Update(at(0), entries(a), false) }, nil, 1000, nil, roster.Lapsed},
		{"entry written again in time", func(r *roster.Roster) { r.Update(at(0), entries(a), false) }, nil, 1500, entries(a), roster.Ready},
		{"entry not written again in time", func(r *roster.Roster) { r.Update(at(0), entries(a), false) }, nil, 2200, nil, roster.Leaving},
		{"entry vouched for before: missing is not a leave", func(r *roster.Roster) { r.Update(at(0), entries(a), true) }, nil, 1000, nil, roster.Lapsed},
		{"leaving server stays leaving", func(r *roster.Roster) { r.Update(at(0), entries(leaving), false) }, entries(a), 4000, entries(a), roster.Leaving},
		{"server that left stays leaving", func(r *roster.Roster) {
			r.Update(at(0), entries(a), false)
			r.Update(at(10), nil, false)
		}, entries(a), 4000, entries(a), roster.Leaving},
		{"server that was removed is leaving", func(r *roster.Roster) {
			r.Update(at(0), entries(a), false)
			r.Update(at(10), nil, false)
			r.Expire(at(16000))
		}, entries(a), 4000, entries(a), roster.Leaving},
		{"server that was removed in a long outage is leaving", func(r *roster.Roster) {
			r.Update(at(-3600000), entries(a), false)
			r.Update(at(-3599000), nil, false)
			r.SetStoreDown(at(-3598000), true)
			r.Expire(at(-3500000))
			r.Expire(at(0))
			r.SetStoreDown(at(19000), false)
		}, entries(a), 4000, entries(a), roster.Leaving},
		{"ready server stays ready", func(r *roster.Roster) { r.Update(at(0), entries(a), false) }, entries(a), 1000, entries(a), roster.Ready},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			r.SetEra(at(0), 1)
			c.before(r)
			r.SetEra(at(20000), 2)
			r.Update(at(20000), c.restored, false)
			r.SetEra(at(20000+c.at), 2)
			r.Update(at(20000+c.at), c.later, false)
			r.Expire(at(20000 + c.at))
			if got := state(t, r, "a"); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Neither the first entries nor others of the same era count as a restore.
func TestSameEraKeepsState(t *testing.T) {
	r := newRoster()
	r.SetEra(at(0), 7)
	r.Update(at(0), []roster.Server{server("a", true)}, false)
	r.SetEra(at(10), 7)
	r.Update(at(10), []roster.Server{server("a", false)}, false)
	if got := state(t, r, "a"); got != roster.Ready {
		t.Errorf("entry no longer draining: got %v, want ready", got)
	}
	if l := r.AnnouncedLeaving(); len(l) != 0 {
		t.Errorf("servers that announced their leave: got %v, want none", l)
	}
}

// A server that turned cold after the backup was made stays cold until it has written again.
func TestColdOutlastsRestore(t *testing.T) {
	r := newRoster()
	warm, cold := server("a", false), server("a", false)
	cold.ColdFor = 4 * time.Second
	r.SetEra(at(0), 1)
	r.Update(at(0), []roster.Server{warm}, false)
	r.Update(at(10), []roster.Server{cold}, false)
	r.SetEra(at(100), 2)
	r.Update(at(100), []roster.Server{warm}, false)
	if m, _ := r.Find("a"); !m.WarmAt.Equal(at(4010)) {
		t.Errorf("after the restore: got warm at %v, want %v", m.WarmAt, at(4010))
	}
	cold.ColdFor = time.Second
	r.Update(at(2500), []roster.Server{cold}, false)
	if m, _ := r.Find("a"); !m.WarmAt.Equal(at(3500)) {
		t.Errorf("after it wrote again: got warm at %v, want %v", m.WarmAt, at(3500))
	}
}

// A closure that a restore of the store has lost holds until it is written again or expires.
func TestClosuresAfterRestore(t *testing.T) {
	x := []roster.Closure{{Domain: "x"}}
	tests := []struct {
		name string
		do   func(r *roster.Roster)
		want bool
	}{
		{"lost with the restore", func(r *roster.Roster) { r.SetClosures(at(100), 2, nil, warmup) }, true},
		{"lost and expired", func(r *roster.Roster) {
			r.SetClosures(at(100), 2, nil, warmup)
			r.ExpireClosures(at(30200), warmup)
		}, false},
		{"written again", func(r *roster.Roster) {
			r.SetClosures(at(100), 2, nil, warmup)
			r.SetClosures(at(200), 2, x, warmup)
			r.ExpireClosures(at(60000), warmup)
		}, true},
		{"written again and opened", func(r *roster.Roster) {
			r.SetClosures(at(100), 2, nil, warmup)
			r.SetClosures(at(200), 2, x, warmup)
			r.SetClosures(at(300), 2, nil, warmup)
		}, false},
		{"opened in the new era, and still retained by a peer", func(r *roster.Roster) {
			r.SetClosures(at(100), 2, x, warmup)
			r.SetClosures(at(200), 2, nil, warmup)
			r.MergeRetainedClosures(at(300), []api.KeptClosure{{Domain: "x", LeftMS: 20000}}, warmup)
		}, false},
		{"opened in the same era", func(r *roster.Roster) { r.SetClosures(at(100), 1, nil, warmup) }, false},
		{"lost by two restores", func(r *roster.Roster) {
			r.SetClosures(at(100), 2, nil, warmup)
			r.SetClosures(at(5000), 3, nil, warmup)
		}, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			r.SetClosures(at(0), 1, x, warmup)
			c.do(r)
			if got := r.Closed("x"); got != c.want {
				t.Errorf("closed: got %v, want %v", got, c.want)
			}
		})
	}
}

func TestRetainedClosuresReachPeers(t *testing.T) {
	a, b := newRoster(), newRoster()
	a.SetClosures(at(0), 1, []roster.Closure{{Domain: "x"}}, warmup)
	a.SetClosures(at(100), 2, nil, warmup)
	b.SetClosures(at(5000), 2, nil, warmup)
	if got, _ := b.MergeRetainedClosures(at(10100), a.RetainedClosures(at(10100)), warmup); !slices.Equal(got, []api.DomainName{"x"}) {
		t.Fatalf("closed as a peer retains it: got %v, want x", got)
	}
	if got := b.RetainedClosures(at(10200)); len(got) != 1 || got[0].LeftMS != 19900 {
		t.Errorf("retained: got %+v, want x for 19,900 ms", got)
	}
	// The closure of x has expired: the next call, here for y, must report that x is open.
	y := []api.KeptClosure{{Domain: "y", LeftMS: 1000}}
	closed, opened := b.MergeRetainedClosures(at(30101), y, warmup)
	if !slices.Equal(closed, []api.DomainName{"y"}) || !slices.Equal(opened, []api.DomainName{"x"}) {
		t.Errorf("after it expired: got closed %v and opened %v, want y and x", closed, opened)
	}
}
