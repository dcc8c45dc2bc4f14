package placement_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
)

// report is a holder's report of so many tokens at the engine "s".
func report(sequence int64, tokens api.Tokens, last placement.RequestNumber, pending ...placement.RequestNumber) placement.Holding {
	l := placement.Loads{}
	if tokens > 0 {
		l["s"] = load(tokens, 0)
	}
	return placement.Holding{Incarnation: 7, Sequence: sequence, Loads: l, LastRequest: last, Pending: pending}
}

// What is granted counts once: from the grant on, and no more once the holder
// reports it, in whatever order the messages arrive.
func TestLedgerCountsEachGrantOnce(t *testing.T) {
	type step func(l *placement.Ledger, now time.Time)
	hold := func(h placement.Holding) step {
		return func(l *placement.Ledger, now time.Time) { l.Update(now, "vm", h) }
	}
	grant := func(a placement.RequestNumber, tokens api.Tokens) step {
		return func(l *placement.Ledger, now time.Time) {
			l.Grant(now, placement.Recipient{VM: "vm", Incarnation: 7, Request: a}, "s", load(tokens, 0))
		}
	}
	incarnation := func(i api.Incarnation, h placement.Holding) step {
		h.Incarnation = i
		return hold(h)
	}
	tests := []struct {
		name  string
		steps []step
		want  api.Tokens
	}{
		{"a grant counts at once", []step{hold(report(1, 0, 1, 1)), grant(1, 4000)}, 4000},
		{"a grant to one unheard", []step{grant(1, 4000)}, 4000},
		{"the report takes its place", []step{hold(report(1, 0, 1, 1)), grant(1, 4000), hold(report(2, 4000, 1))}, 4000},
		{"a report made before the answer came", []step{hold(report(1, 0, 1, 1)), grant(1, 4000), hold(report(2, 500, 1, 1))}, 4500},
		{"another ask is still open", []step{hold(report(1, 0, 2, 1, 2)), grant(1, 4000), grant(2, 300), hold(report(2, 4000, 2, 2))}, 4300},
		{"a grant that was not taken", []step{hold(report(1, 0, 1, 1)), grant(1, 4000), hold(report(2, 0, 1))}, 0},
		{"an older report arrives late", []step{hold(report(2, 4000, 1)), hold(report(1, 0, 1))}, 4000},
		{"a run and its copy", []step{hold(report(1, 0, 1, 1)), grant(1, 4000), grant(1, 50), hold(report(2, 4050, 1))}, 4050},
		{"the holder has started anew", []step{hold(report(9, 4000, 9)), grant(10, 300), incarnation(8, report(1, 20, 0))}, 20},
		{"a grant to a new life", []step{hold(report(9, 4000, 9)), func(l *placement.Ledger, now time.Time) {
			l.Grant(now, placement.Recipient{VM: "vm", Incarnation: 8, Request: 1}, "s", load(300, 0))
		}}, 300},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			l := placement.NewLedger()
			l.Add("s", load(10, 0))
			now := begin
			for _, s := range c.steps {
				s(l, now)
				now = now.Add(10 * time.Millisecond)
			}
			if got := l.Total("s").Tokens; got != c.want+10 {
				t.Errorf("tokens: got %d, want %d", got, c.want+10)
			}
			l.Expire(now.Add(time.Minute))
			if got := l.Total("s"); got != load(10, 0) {
				t.Errorf("long after: got %+v, want the own load alone", got)
			}
		})
	}
}

// Grants that were never taken and holders that fell silent count no longer than
// their time.
func TestLedgerExpiresGrantsAndSilentHolders(t *testing.T) {
	l := placement.NewLedger()
	l.Update(begin, "vm", report(1, 100, 1, 1))
	l.Grant(begin, placement.Recipient{VM: "vm", Incarnation: 7, Request: 1}, "s", load(20, 0))
	tests := []struct {
		after time.Duration
		want  api.Tokens
	}{{900 * time.Millisecond, 120}, {1100 * time.Millisecond, 100}, {2900 * time.Millisecond, 100}, {3100 * time.Millisecond, 0}}
	for _, c := range tests {
		l.Expire(begin.Add(c.after))
		if got := l.Total("s").Tokens; got != c.want {
			t.Errorf("after %v: got %d, want %d", c.after, got, c.want)
		}
	}
}

func TestRemotePoolsLessLoaded(t *testing.T) {
	need := placement.Requirements{Tokens: 3400}
	home := func(score float64) *placement.Choice { return &placement.Choice{Score: score} }
	pool := func(engines int, tokens, unread api.Tokens, waiting int) api.PoolLoad {
		return api.PoolLoad{Engines: engines, Tokens: tokens, Unread: unread, Waiting: waiting}
	}
	tests := []struct {
		name string
		home *placement.Choice
		y, z api.PoolLoad
		want api.DomainName
	}{
		{"home is as good", home(0.3), pool(2, 13600, 0, 0), pool(2, 20000, 0, 0), ""},
		{"another one is less loaded", home(0.6), pool(2, 13600, 0, 0), pool(2, 20000, 0, 0), "y"},
		{"prompts to be read count", home(0.6), pool(2, 13600, 14000, 0), pool(2, 20000, 0, 0), "z"},
		{"no room at home", nil, pool(2, 40000, 0, 0), pool(2, 50000, 0, 0), "y"},
		{"others wait there", nil, pool(2, 40000, 0, 3), pool(2, 50000, 0, 0), "z"},
		{"no engines there", nil, pool(0, 0, 0, 0), pool(0, 0, 0, 0), ""},
		{"all is full", nil, pool(1, 40000, 50000, 0), pool(1, 40000, 50000, 0), ""},
	}
	for _, c := range tests {
		d := placement.NewRemotePools()
		d.Update(begin, "y", map[api.ServiceName]api.PoolLoad{"s": c.y})
		d.Update(begin, "z", map[api.ServiceName]api.PoolLoad{"s": c.z, "t": pool(9, 0, 0, 0)})
		got, ok := d.LessLoaded(begin, "s", 34000, need, c.home)
		if got != c.want || ok != (c.want != "") {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
		if got, ok := d.LessLoaded(begin.Add(time.Minute), "s", 34000, need, c.home); ok {
			t.Errorf("%s, a minute later: got %q, want none", c.name, got)
		}
	}
}

// What was sent to a domain counts there until it is heard again.
func TestRemotePoolsCountForwardedRequests(t *testing.T) {
	d := placement.NewRemotePools()
	d.Update(begin, "y", map[api.ServiceName]api.PoolLoad{"s": {Engines: 2}})
	need := placement.Requirements{Tokens: 3400, Unread: 3000}
	got := 0
	for range 20 {
		if n, ok := d.LessLoaded(begin, "s", 34000, need, &placement.Choice{Score: 0.5}); ok {
			d.AddForwarded("s", n, need)
			got++
		}
	}
	if got == 0 || got > 4 {
		t.Errorf("sent to two idle engines: got %d, want a few", got)
	}
	if !d.HasAllocator(begin, "s", "y") || d.HasAllocator(begin, "s", "z") || d.HasAllocator(begin.Add(time.Minute), "s", "y") {
		t.Error("known domains: got another one than that heard lately")
	}
}
