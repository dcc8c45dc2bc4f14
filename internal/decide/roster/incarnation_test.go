package roster_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// incarnation is a server's entry in one of its lives.
func incarnation(born api.Birth, draining bool) roster.Server {
	return roster.Server{Name: roster.IncarnationName("a", born), ID: "a", Born: born, Service: "s", Address: "10.0.0.1:1", Draining: draining}
}

func TestLives(t *testing.T) {
	first, second := string(roster.IncarnationName("a", 1000)), string(roster.IncarnationName("a", 2000))
	tests := []struct {
		name string
		do   func(r *roster.Roster)
		// want are the states of the two lives.
		want [2]roster.State
	}{
		{"a later life ends the earlier one at once", func(r *roster.Roster) {
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
		}, [2]roster.State{roster.Ended, roster.Ready}},
		{"the notice of an earlier life is not the later one's", func(r *roster.Roster) {
			r.MarkLeaving(at(5), api.ServerName(first))
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
		}, [2]roster.State{roster.Ended, roster.Ready}},
		{"a late notice of an earlier life changes nothing", func(r *roster.Roster) {
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
			r.MarkLeaving(at(20), api.ServerName(first))
		}, [2]roster.State{roster.Ended, roster.Ready}},
		{"a late entry of an earlier life changes nothing", func(r *roster.Roster) {
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
			r.Update(at(20), []roster.Server{incarnation(1000, true)}, false)
			r.Update(at(30), []roster.Server{incarnation(1000, false)}, false)
		}, [2]roster.State{roster.Ended, roster.Ready}},
		{"the later life leaves", func(r *roster.Roster) {
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
			r.Update(at(20), []roster.Server{incarnation(2000, true)}, false)
		}, [2]roster.State{roster.Ended, roster.Leaving}},
		{"a later life in an outage of the store ends the earlier one, which is no lapse", func(r *roster.Roster) {
			r.SetStoreDown(at(5), true)
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
		}, [2]roster.State{roster.Ended, roster.Ready}},
		{"the server itself tells of a later life", func(r *roster.Roster) {
			r.End(at(5), api.ServerName(first))
			r.Update(at(8), []roster.Server{incarnation(1000, false)}, false)
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
		}, [2]roster.State{roster.Ended, roster.Ready}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := settled()
			r.Update(at(0), []roster.Server{incarnation(1000, false)}, false)
			c.do(r)
			if got := [2]roster.State{state(t, r, first), state(t, r, second)}; got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// The end of a life is told once, and it is forgotten without a trace on the next one.
func TestEndedLifeIsForgotten(t *testing.T) {
	r := settled()
	r.Update(at(0), []roster.Server{incarnation(1000, false)}, false)
	l := r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
	if len(l) != 2 || l[0].State != roster.Ended || l[1].State != roster.Ready {
		t.Errorf("changes: got %+v, want the end of one life and another one", l)
	}
	if l := r.Update(at(20), []roster.Server{incarnation(2000, false)}, false); len(l) != 0 {
		t.Errorf("changes of the same entry: got %+v, want none", l)
	}
	r.Expire(at(20000))
	if _, ok := r.Find(roster.IncarnationName("a", 1000)); ok {
		t.Error("the life that ended: got it still, want it forgotten")
	}
	if l := r.Update(at(20010), []roster.Server{incarnation(1000, false)}, false); len(l) != 0 {
		t.Errorf("a late entry of it: got %+v, want nothing", l)
	}
}

// two are servers in two failure domains.
func two() []roster.Server {
	a, b := server("a", false), server("b", false)
	a.Domain, b.Domain = "x", "y"
	return []roster.Server{a, b}
}

func warmup(api.ServiceName) time.Duration { return time.Second }

func TestClosedDomains(t *testing.T) {
	r := settled()
	r.Update(at(0), two(), false)
	x := []roster.Closure{{Domain: "x"}}
	closed, opened := r.SetClosures(at(10), 1, x, warmup)
	if !slices.Equal(closed, []api.DomainName{"x"}) || len(opened) != 0 {
		t.Errorf("got closed %v opened %v, want x closed", closed, opened)
	}
	if c, o := r.SetClosures(at(20), 1, x, warmup); len(c)+len(o) != 0 {
		t.Errorf("the same again: got %v and %v, want no change", c, o)
	}
	a, _ := r.Find("a")
	b, _ := r.Find("b")
	if a.AcceptsRequests() || a.State != roster.Ready || !b.AcceptsRequests() {
		t.Errorf("got a %+v and b %+v, want a ready and closed, b open", a, b)
	}
	// One that appears meanwhile is closed as well.
	n := server("n", false)
	n.Domain = "x"
	r.Update(at(30), append(two(), n), false)
	if m, _ := r.Find("n"); m.AcceptsRequests() {
		t.Error("a new server of the closed domain: got it open, want it closed")
	}
	if _, opened := r.SetClosures(at(40), 1, nil, warmup); !slices.Equal(opened, []api.DomainName{"x"}) {
		t.Errorf("got opened %v, want x", opened)
	}
	a, _ = r.Find("a")
	b, _ = r.Find("b")
	if !a.AcceptsRequests() || !a.WarmAt.Equal(at(1040)) || b.WarmAt.After(at(40)) {
		t.Errorf("after it opened: got a warm at %v and b at %v, want a cold for a second and b not", a.WarmAt, b.WarmAt)
	}
}
