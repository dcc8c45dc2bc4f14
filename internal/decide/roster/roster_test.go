package roster_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

var epoch = time.Unix(100, 0)

func at(ms int) time.Time {
	return epoch.Add(time.Duration(ms) * time.Millisecond)
}

func server(n string, draining bool) roster.Server {
	return roster.Server{Name: api.ServerName(n), Service: "s", Address: "10.0.0.1:1", Draining: draining}
}

// newRoster creates a roster that the store has answered for long.
func newRoster() *roster.Roster {
	r := roster.New()
	r.SetStoreDown(at(-10000000), false)
	return r
}

func state(t *testing.T, r *roster.Roster, n string) roster.State {
	t.Helper()
	m, ok := r.Find(api.ServerName(n))
	if !ok {
		t.Fatalf("server %s: got none", n)
	}
	return m.State
}

// The cached list of a service's servers must follow every kind of change.
func TestServiceReflectsEachChange(t *testing.T) {
	r := newRoster()
	all := twoDomains()
	for i, change := range []func(){
		func() { r.Update(at(0), all, false) },
		func() { r.Update(at(10), all[:1], false) },
		func() { r.Update(at(20), all, false) },
		func() { r.MarkLeaving(at(30), "a") },
		func() { r.SetClosures(at(40), 1, []roster.Closure{{Domain: "y"}}, warmup) },
		func() { r.SetClosures(at(50), 1, nil, warmup) },
		func() { r.End(at(60), "b") },
		func() { r.Expire(at(60000)) },
		func() { r.Update(at(60010), all, false) },
		func() {
			all[1].Slots++
			r.Update(at(60020), all, false)
		},
	} {
		change()
		for _, m := range r.Service("s") {
			if x, ok := r.Find(m.Name); !ok || x != m {
				t.Errorf("after change %d: got %+v, want %+v", i, m, x)
			}
		}
		n := 0
		for _, s := range all {
			if _, ok := r.Find(s.Name); ok {
				n++
			}
		}
		if got := len(r.Service("s")); got != n {
			t.Errorf("after change %d: got %d servers, want %d", i, got, n)
		}
	}
}

func TestUpdate(t *testing.T) {
	tests := []struct {
		name string
		do   func(r *roster.Roster)
		want roster.State
	}{
		{"entry", func(*roster.Roster) {}, roster.Ready},
		{"draining entry", func(r *roster.Roster) { r.Update(at(10), []roster.Server{server("a", true)}, false) }, roster.Leaving},
		{"entry gone while the store answers", func(r *roster.Roster) { r.Update(at(10), nil, false) }, roster.Leaving},
		{"entry gone in an outage", func(r *roster.Roster) {
			r.SetStoreDown(at(10), true)
			r.Update(at(20), nil, false)
		}, roster.Lapsed},
		{"entry gone right after an outage", func(r *roster.Roster) {
			r.SetStoreDown(at(10), true)
			r.SetStoreDown(at(5000), false)
			r.Update(at(5010), nil, false)
		}, roster.Lapsed},
		{"entry back after an outage", func(r *roster.Roster) {
			r.SetStoreDown(at(10), true)
			r.SetStoreDown(at(5000), false)
			r.Update(at(5010), nil, false)
			r.Update(at(6000), []roster.Server{server("a", false)}, false)
		}, roster.Ready},
		{"entry gone in the view of a peer while the store refuses only this VM", func(r *roster.Roster) {
			r.SetStoreDown(at(10), true)
			r.Update(at(20), nil, true)
		}, roster.Leaving},
		{"entry gone after an outage of this VM only", func(r *roster.Roster) {
			r.SetStoreDown(at(10), true)
			r.Update(at(20), []roster.Server{server("a", false)}, true)
			r.SetStoreDown(at(5000), false)
			r.Update(at(5010), nil, false)
		}, roster.Leaving},
		{"entry gone in an outage of all VMs after one of this VM only", func(r *roster.Roster) {
			r.SetStoreDown(at(10), true)
			r.Update(at(20), []roster.Server{server("a", false)}, true)
			r.SetStoreDown(at(5000), false)
			r.SetStoreDown(at(9000), true)
			r.Update(at(9010), nil, false)
		}, roster.Lapsed},
		{"entry gone before the store ever answered", func(r *roster.Roster) {
			*r = *roster.New()
			r.Update(at(10), []roster.Server{server("a", false)}, false)
			r.Update(at(20), nil, false)
		}, roster.Lapsed},
		{"entry still missing after the time to write it again", func(r *roster.Roster) {
			r.SetStoreDown(at(10), true)
			r.SetStoreDown(at(5000), false)
			r.Update(at(5010), nil, false)
			r.Expire(at(7010))
		}, roster.Leaving},
		{"lapse lasts as long as the outage", func(r *roster.Roster) {
			r.SetStoreDown(at(10), true)
			r.Update(at(20), nil, false)
			r.Expire(at(9000))
		}, roster.Lapsed},
		{"announced leave outlasts a late entry", func(r *roster.Roster) {
			r.MarkLeaving(at(10), "a")
			r.Update(at(20), []roster.Server{server("a", false)}, false)
		}, roster.Leaving},
		{"entry that was missing for a while", func(r *roster.Roster) {
			r.Update(at(10), nil, false)
			r.Update(at(3000), []roster.Server{server("a", false)}, false)
		}, roster.Ready},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			r.Update(at(0), []roster.Server{server("a", false)}, false)
			c.do(r)
			if got := state(t, r, "a"); got != c.want {
				t.Errorf("state: got %v, want %v", got, c.want)
			}
		})
	}
}

func TestUpdateReportsEachChangeOnce(t *testing.T) {
	r := newRoster()
	r.Update(at(0), []roster.Server{server("a", false), server("b", false)}, false)
	if got := r.Update(at(10), []roster.Server{server("a", true), server("b", false)}, false); len(got) != 1 || got[0].Name != "a" {
		t.Errorf("first change: got %v, want only a", got)
	}
	if got := r.Update(at(20), []roster.Server{server("a", true)}, false); len(got) != 1 || got[0].Name != "b" {
		t.Errorf("second change: got %v, want only b", got)
	}
}

func TestDepartedServerIsRemoved(t *testing.T) {
	r := newRoster()
	r.Update(at(0), []roster.Server{server("a", true)}, false)
	r.Expire(at(20000))
	if _, ok := r.Find("a"); ok {
		t.Error("20 s after its notice: got the server, want none")
	}
}

// A server is cold for as long as its newest entry says, counted from the arrival of that entry.
func TestColdServersWarmUp(t *testing.T) {
	r := roster.New()
	e := roster.Server{Name: "a", Service: "s", ColdFor: 2 * time.Second}
	warm := func() time.Time {
		m, _ := r.Find("a")
		return m.WarmAt
	}
	r.Update(at(0), []roster.Server{e}, true)
	r.Update(at(1000), []roster.Server{e}, true)
	if got, want := warm(), at(2000); !got.Equal(want) {
		t.Errorf("the same entry again: got warm at %v, want %v", got, want)
	}
	e.ColdFor = 0
	r.Update(at(1500), []roster.Server{e}, true)
	if got, want := warm(), at(1500); !got.Equal(want) {
		t.Errorf("a newer entry: got warm at %v, want %v", got, want)
	}
}
