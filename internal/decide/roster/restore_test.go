package roster_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// What a copy of the store says of servers that were known otherwise.
func TestEntriesOfACopy(t *testing.T) {
	a, leaving := server("a", false), server("a", true)
	entries := func(l ...roster.Server) []roster.Server { return l }
	tests := []struct {
		name string
		// before comes in the first era; the copy at 20,000 ms, in the second one.
		before   func(r *roster.Roster)
		restored []roster.Server
		// later comes so many ms after that, followed by a step.
		at    int
		later []roster.Server
		want  roster.State
	}{
		{"written since the copy: missing is no leave", func(r *roster.Roster) { r.Update(at(0), entries(a), false) }, nil, 1000, nil, roster.Lapsed},
		{"and is back once it has written again", func(r *roster.Roster) { r.Update(at(0), entries(a), false) }, nil, 1500, entries(a), roster.Ready},
		{"or has left, if it does not", func(r *roster.Roster) { r.Update(at(0), entries(a), false) }, nil, 2200, nil, roster.Leaving},
		{"vouched for before: missing is no leave either", func(r *roster.Roster) { r.Update(at(0), entries(a), true) }, nil, 1000, nil, roster.Lapsed},
		{"leaving stays leaving", func(r *roster.Roster) { r.Update(at(0), entries(leaving), false) }, entries(a), 4000, entries(a), roster.Leaving},
		{"gone stays gone", func(r *roster.Roster) {
			r.Update(at(0), entries(a), false)
			r.Update(at(10), nil, false)
		}, entries(a), 4000, entries(a), roster.Leaving},
		{"forgotten is remembered", func(r *roster.Roster) {
			r.Update(at(0), entries(a), false)
			r.Update(at(10), nil, false)
			r.Expire(at(16000))
		}, entries(a), 4000, entries(a), roster.Leaving},
		{"forgotten in an outage that lasts", func(r *roster.Roster) {
			r.Update(at(-3600000), entries(a), false)
			r.Update(at(-3599000), nil, false)
			r.SetStoreDown(at(-3598000), true)
			r.Expire(at(-3500000))
			r.Expire(at(0))
			r.SetStoreDown(at(19000), false)
		}, entries(a), 4000, entries(a), roster.Leaving},
		{"known to have started again stays so", func(r *roster.Roster) { r.Update(at(0), entries(a), false) }, entries(a), 1000, entries(a), roster.Ready},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := settled()
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

// The first entries, and those of the same era, change nothing of what is known.
func TestSameEraChangesNothing(t *testing.T) {
	r := settled()
	r.SetEra(at(0), 7)
	r.Update(at(0), []roster.Server{server("a", true)}, false)
	r.SetEra(at(10), 7)
	r.Update(at(10), []roster.Server{server("a", false)}, false)
	if got := state(t, r, "a"); got != roster.Ready {
		t.Errorf("an entry that is ready again: got %v, want ready", got)
	}
	if l := r.AnnouncedLeaving(); len(l) != 0 {
		t.Errorf("servers said to leave: got %v, want none", l)
	}
}

// A server that turned cold after the copy was made stays so until it has written again.
func TestColdOutlastsACopy(t *testing.T) {
	r := settled()
	warm, cold := server("a", false), server("a", false)
	cold.ColdFor = 4 * time.Second
	r.SetEra(at(0), 1)
	r.Update(at(0), []roster.Server{warm}, false)
	r.Update(at(10), []roster.Server{cold}, false)
	r.SetEra(at(100), 2)
	r.Update(at(100), []roster.Server{warm}, false)
	if m, _ := r.Find("a"); !m.WarmAt.Equal(at(4010)) {
		t.Errorf("after the copy: got warm at %v, want %v", m.WarmAt, at(4010))
	}
	cold.ColdFor = time.Second
	r.Update(at(2500), []roster.Server{cold}, false)
	if m, _ := r.Find("a"); !m.WarmAt.Equal(at(3500)) {
		t.Errorf("after it wrote again: got warm at %v, want %v", m.WarmAt, at(3500))
	}
}

// A closure that a copy of the store has lost holds until it is written again, or for its time.
func TestClosuresOfACopy(t *testing.T) {
	x := []roster.Closure{{Domain: "x"}}
	tests := []struct {
		name string
		do   func(r *roster.Roster)
		want bool
	}{
		{"lost with the copy", func(r *roster.Roster) { r.SetClosures(at(100), 2, nil, warmup) }, true},
		{"until its time is over", func(r *roster.Roster) {
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
		{"a peer's older word of it after that", func(r *roster.Roster) {
			r.SetClosures(at(100), 2, x, warmup)
			r.SetClosures(at(200), 2, nil, warmup)
			r.MergeRetainedClosures(at(300), []api.KeptClosure{{Domain: "x", LeftMS: 20000}}, warmup)
		}, false},
		{"opened in the same era", func(r *roster.Roster) { r.SetClosures(at(100), 1, nil, warmup) }, false},
		{"lost twice", func(r *roster.Roster) {
			r.SetClosures(at(100), 2, nil, warmup)
			r.SetClosures(at(5000), 3, nil, warmup)
		}, true},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := settled()
			r.SetClosures(at(0), 1, x, warmup)
			c.do(r)
			if got := r.Closed("x"); got != c.want {
				t.Errorf("closed: got %v, want %v", got, c.want)
			}
		})
	}
}

func TestKeptClosuresArePassedOn(t *testing.T) {
	a, b := settled(), settled()
	a.SetClosures(at(0), 1, []roster.Closure{{Domain: "x"}}, warmup)
	a.SetClosures(at(100), 2, nil, warmup)
	b.SetClosures(at(5000), 2, nil, warmup)
	if got, _ := b.MergeRetainedClosures(at(10100), a.RetainedClosures(at(10100)), warmup); !slices.Equal(got, []api.DomainName{"x"}) {
		t.Fatalf("closed by a peer's word: got %v, want x", got)
	}
	if got := b.RetainedClosures(at(10200)); len(got) != 1 || got[0].LeftMS != 19900 {
		t.Errorf("kept: got %+v, want x for 19,900 ms", got)
	}
	// A peer's word of another domain comes first after its time: that x is open is told with it.
	y := []api.KeptClosure{{Domain: "y", LeftMS: 1000}}
	closed, opened := b.MergeRetainedClosures(at(30101), y, warmup)
	if !slices.Equal(closed, []api.DomainName{"y"}) || !slices.Equal(opened, []api.DomainName{"x"}) {
		t.Errorf("after its time: got closed %v and opened %v, want y and x", closed, opened)
	}
}
