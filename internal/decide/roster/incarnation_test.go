package roster_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

// incarnation is the entry of one incarnation of a server.
func incarnation(born api.Birth, draining bool) roster.Server {
	return roster.Server{Name: roster.IncarnationName("a", born), ID: "a", Born: born, Service: "s", Address: "10.0.0.1:1", Draining: draining}
}

func TestIncarnations(t *testing.T) {
	first, second := string(roster.IncarnationName("a", 1000)), string(roster.IncarnationName("a", 2000))
	tests := []struct {
		name string
		do   func(r *roster.Roster)
		// want holds the states of the two incarnations.
		want [2]roster.State
	}{
		{"a later incarnation ends the earlier one at once", func(r *roster.Roster) {
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
		}, [2]roster.State{roster.Ended, roster.Ready}},
		{"the notice of an earlier incarnation does not apply to the later one", func(r *roster.Roster) {
			r.MarkLeaving(at(5), api.ServerName(first))
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
		}, [2]roster.State{roster.Ended, roster.Ready}},
		{"a late notice of an earlier incarnation changes nothing", func(r *roster.Roster) {
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
			r.MarkLeaving(at(20), api.ServerName(first))
		}, [2]roster.State{roster.Ended, roster.Ready}},
		{"a late entry of an earlier incarnation changes nothing", func(r *roster.Roster) {
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
			r.Update(at(20), []roster.Server{incarnation(1000, true)}, false)
			r.Update(at(30), []roster.Server{incarnation(1000, false)}, false)
		}, [2]roster.State{roster.Ended, roster.Ready}},
		{"the later incarnation leaves", func(r *roster.Roster) {
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
			r.Update(at(20), []roster.Server{incarnation(2000, true)}, false)
		}, [2]roster.State{roster.Ended, roster.Leaving}},
		{"a later incarnation in an outage of the store ends the earlier one, which does not lapse", func(r *roster.Roster) {
			r.SetStoreDown(at(5), true)
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
		}, [2]roster.State{roster.Ended, roster.Ready}},
		{"the server itself reports a later incarnation", func(r *roster.Roster) {
			r.End(at(5), api.ServerName(first))
			r.Update(at(8), []roster.Server{incarnation(1000, false)}, false)
			r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
		}, [2]roster.State{roster.Ended, roster.Ready}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := newRoster()
			r.Update(at(0), []roster.Server{incarnation(1000, false)}, false)
			c.do(r)
			if got := [2]roster.State{state(t, r, first), state(t, r, second)}; got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// The end of an incarnation is reported once, and its removal leaves the next one unchanged.
func TestEndedIncarnationIsRemoved(t *testing.T) {
	r := newRoster()
	r.Update(at(0), []roster.Server{incarnation(1000, false)}, false)
	l := r.Update(at(10), []roster.Server{incarnation(2000, false)}, false)
	if len(l) != 2 || l[0].State != roster.Ended || l[1].State != roster.Ready {
		t.Errorf("changes: got %+v, want the end of one incarnation and the start of another", l)
	}
	if l := r.Update(at(20), []roster.Server{incarnation(2000, false)}, false); len(l) != 0 {
		t.Errorf("changes of the same entry: got %+v, want none", l)
	}
	r.Expire(at(20000))
	if _, ok := r.Find(roster.IncarnationName("a", 1000)); ok {
		t.Error("the incarnation that ended: got it, want it removed")
	}
	if l := r.Update(at(20010), []roster.Server{incarnation(1000, false)}, false); len(l) != 0 {
		t.Errorf("a late entry of it: got changes %+v, want none", l)
	}
}

// twoDomains are two servers, in the failure domains x and y.
func twoDomains() []roster.Server {
	a, b := server("a", false), server("b", false)
	a.Domain, b.Domain = "x", "y"
	return []roster.Server{a, b}
}

func warmup(api.ServiceName) time.Duration { return time.Second }

func TestClosedDomains(t *testing.T) {
	r := newRoster()
	r.Update(at(0), twoDomains(), false)
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
	// A server that appears while the domain is closed is closed as well.
	n := server("n", false)
	n.Domain = "x"
	r.Update(at(30), append(twoDomains(), n), false)
	if m, _ := r.Find("n"); m.AcceptsRequests() {
		t.Error("a new server of the closed domain: got it accepting requests, want it closed")
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
