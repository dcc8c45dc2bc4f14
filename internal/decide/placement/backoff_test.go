package placement_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

func TestBackoffsFilterServers(t *testing.T) {
	begin := time.UnixMilli(1_000_000)
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	member := func(n api.ServerName) roster.Member { return roster.Member{Server: roster.Server{Name: n}} }
	leaving := roster.Member{Server: roster.Server{Name: "c"}, State: roster.Leaving}
	r := placement.NewBackoffs()
	r.Add(at(0), "a", 3*time.Second)
	r.Add(at(1), "a", time.Second)
	r.Add(at(1), "b", time.Second)
	tests := []struct {
		name      string
		at        float64
		members   []roster.Member
		inBackoff []api.ServerName
		wait      time.Duration
	}{
		{"one of two servers", 1.5, []roster.Member{member("a"), member("d")}, []api.ServerName{"a"}, 0},
		{"all servers", 1.5, []roster.Member{member("a"), member("b")}, []api.ServerName{"a", "b"}, 500 * time.Millisecond},
		{"the only other server is leaving", 1.5, []roster.Member{member("a"), leaving}, []api.ServerName{"a"}, 1500 * time.Millisecond},
		{"a shorter backoff does not end the longer one", 2.5, []roster.Member{member("a"), member("b")}, []api.ServerName{"a"}, 0},
		{"after the backoff", 3, []roster.Member{member("a")}, nil, 0},
		{"no servers", 0, nil, nil, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			l, wait := r.ActiveAmong(at(c.at), c.members)
			if !slices.Equal(l, c.inBackoff) || wait != c.wait {
				t.Errorf("got %v for %v, want %v for %v", l, wait, c.inBackoff, c.wait)
			}
		})
	}
}

// During a backoff a server may be sent two requests that no other server can serve, and no more.
func TestBackoffAllowsTwoRequests(t *testing.T) {
	begin := time.UnixMilli(1_000_000)
	r := placement.NewBackoffs()
	r.Add(begin, "a", 3*time.Second)
	got := 0
	for range 5 {
		if r.TakeAllowance(begin.Add(time.Second), "a") {
			got++
		}
	}
	if got != 2 {
		t.Errorf("during the backoff: got %d requests, want 2", got)
	}
	if !r.TakeAllowance(begin.Add(3*time.Second), "a") {
		t.Error("after the backoff: got no request allowed, want all allowed")
	}
	r.Add(begin.Add(4*time.Second), "a", time.Second)
	if !r.TakeAllowance(begin.Add(4*time.Second), "a") {
		t.Error("during another backoff: got no request allowed, want 2 again")
	}
}

func TestFirstBackoffToEnd(t *testing.T) {
	begin := time.UnixMilli(1_000_000)
	r := placement.NewBackoffs()
	r.Add(begin, "a", 3*time.Second)
	r.Add(begin, "b", time.Second)
	for _, c := range []struct {
		name       string
		now, limit time.Duration
		servers    []api.ServerName
		want       api.ServerName
	}{
		{"first of two", 0, 5 * time.Second, []api.ServerName{"a", "b"}, "b"},
		{"one that is not asked about ends sooner", 0, 5 * time.Second, []api.ServerName{"a"}, "a"},
		{"none by the limit", 0, 500 * time.Millisecond, []api.ServerName{"a", "b"}, ""},
		{"none is in a backoff", 0, 5 * time.Second, []api.ServerName{"c"}, ""},
		{"one has ended", 2 * time.Second, 5 * time.Second, []api.ServerName{"b", "a"}, "a"},
	} {
		if got, _, ok := r.FirstToEnd(begin.Add(c.now), begin.Add(c.limit), c.servers...); got != c.want || ok != (c.want != "") {
			t.Errorf("%s: got %q and %t, want %q", c.name, got, ok, c.want)
		}
	}
}
