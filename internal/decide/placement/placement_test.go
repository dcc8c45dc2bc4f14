package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/roster"
)

var begin = time.Unix(100, 0)

func member(n string, d api.DomainName, s roster.State) roster.Member {
	return roster.Member{Server: roster.Server{Name: api.ServerName(n), Domain: d, Slots: 24}, State: s}
}

// coldMember returns a server that is warm in s seconds.
func coldMember(n string, s int) roster.Member {
	m := member(n, "x", roster.Ready)
	m.WarmAt = begin.Add(time.Duration(s) * time.Second)
	return m
}

func load(tokens, unread api.Tokens) api.ServerLoad {
	return api.ServerLoad{Requests: 1, Tokens: tokens, Unread: unread}
}

func TestPick(t *testing.T) {
	tests := []struct {
		name         string
		members      []roster.Member
		prepare      func(p *placement.Picker)
		preferDomain bool
		tried        []api.ServerName
		want         api.ServerName
	}{
		{"least memory reserved", []roster.Member{member("a", "x", roster.Ready), member("b", "x", roster.Ready)}, func(p *placement.Picker) {
			p.EngineLoads.Add("a", load(9000, 0))
			p.EngineLoads.Add("b", load(3000, 0))
		}, false, nil, "b"},
		{"loads of other holders count", []roster.Member{member("a", "x", roster.Ready), member("b", "x", roster.Ready)}, func(p *placement.Picker) {
			p.EngineLoads.Update(begin, "vm", placement.Holding{Sequence: 1, Loads: placement.Loads{"b": load(9000, 0)}})
			p.EngineLoads.Add("a", load(3000, 0))
		}, false, nil, "a"},
		{"loads of a silent holder do not count", []roster.Member{member("a", "x", roster.Ready), member("b", "x", roster.Ready)}, func(p *placement.Picker) {
			p.EngineLoads.Update(begin.Add(-10*time.Second), "vm", placement.Holding{Sequence: 1, Loads: placement.Loads{"b": load(9000, 0)}})
			p.EngineLoads.Expire(begin)
			p.EngineLoads.Add("a", load(3000, 0))
		}, false, nil, "b"},
		{"unread prompts count", []roster.Member{member("a", "x", roster.Ready), member("b", "x", roster.Ready)}, func(p *placement.Picker) {
			p.EngineLoads.Add("a", load(3000, 3000))
			p.EngineLoads.Add("b", load(6000, 0))
		}, false, nil, "b"},
		{"local domain on a tie", []roster.Member{member("a", "y", roster.Ready), member("b", "x", roster.Ready)}, func(*placement.Picker) {}, false, nil, "b"},
		{"copies stay in a fuller domain", []roster.Member{member("a", "y", roster.Ready), member("b", "x", roster.Ready)}, func(p *placement.Picker) {
			p.EngineLoads.Add("b", load(25000, 0))
		}, true, nil, "b"},
		{"copies leave a domain without free memory", []roster.Member{member("a", "y", roster.Ready), member("b", "x", roster.Ready)}, func(p *placement.Picker) {
			p.EngineLoads.Add("b", load(32000, 0))
		}, true, nil, "a"},
		{"copies leave a domain whose server is in a cooldown", []roster.Member{member("a", "y", roster.Ready), member("b", "x", roster.Ready)}, func(p *placement.Picker) {
			p.Health.Record(begin, "b", placement.Lost)
		}, true, nil, "a"},
		{"cold servers wait until others are fuller", []roster.Member{coldMember("a", 1), member("b", "x", roster.Ready)}, func(p *placement.Picker) {
			p.EngineLoads.Add("b", load(3000, 0))
		}, false, nil, "b"},
		{"cold servers relieve full ones", []roster.Member{coldMember("a", 1), member("b", "x", roster.Ready)}, func(p *placement.Picker) {
			p.EngineLoads.Add("b", load(20000, 0))
		}, false, nil, "a"},
		{"warm servers are as good as others", []roster.Member{coldMember("a", -1), member("b", "x", roster.Ready)}, func(p *placement.Picker) {
			p.EngineLoads.Add("b", load(9000, 0))
		}, false, nil, "a"},
		{"leaving servers take nothing", []roster.Member{member("a", "x", roster.Leaving)}, func(*placement.Picker) {}, false, nil, ""},
		{"lapsed servers come last", []roster.Member{member("a", "x", roster.Lapsed), member("b", "y", roster.Ready)}, func(p *placement.Picker) {
			p.EngineLoads.Add("b", load(20000, 0))
		}, false, nil, "b"},
		{"lapsed servers are used if there is no other", []roster.Member{member("a", "x", roster.Lapsed)}, func(*placement.Picker) {}, false, nil, "a"},
		{"servers that lost a request are avoided", []roster.Member{member("a", "x", roster.Ready), member("b", "x", roster.Ready)}, func(p *placement.Picker) {
			p.Health.Record(begin, "a", placement.Lost)
			p.EngineLoads.Add("b", load(9000, 0))
		}, false, nil, "b"},
		{"tried servers are left out", []roster.Member{member("a", "x", roster.Ready)}, func(*placement.Picker) {}, false, []api.ServerName{"a"}, ""},
		{"no free memory", []roster.Member{member("a", "x", roster.Ready)}, func(p *placement.Picker) { p.EngineLoads.Add("a", load(33000, 0)) }, false, nil, ""},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := placement.NewPicker(rand.NewPCG(1, 2))
			c.prepare(p)
			l := placement.Pool{Members: c.members, Memory: 34000, Domain: "x", PreferDomain: c.preferDomain}
			got, _ := p.Pick(begin, l, placement.Requirements{Tokens: 4000, Unread: 3000}, c.tried)
			if got.Name != c.want {
				t.Errorf("got %q, want %q", got.Name, c.want)
			}
		})
	}
}

// A server that fails half of its requests is avoided even if it is idle; servers that fail as
// often as their pool are not.
func TestServerFailingMoreThanItsPoolIsAvoided(t *testing.T) {
	p := placement.NewPicker(rand.NewPCG(1, 2))
	l := placement.Pool{Members: []roster.Member{member("a", "x", roster.Ready), member("b", "x", roster.Ready), member("c", "x", roster.Ready)}, Domain: "x"}
	for i := range 60 {
		p.Health.Record(begin, "b", outcome(i%7 == 0))
		p.Health.Record(begin, "c", outcome(i%7 == 1))
		p.Health.Record(begin, "a", outcome(i%2 == 0))
	}
	for range 4 {
		p.PlainLoads.Add("b", api.ServerLoad{Requests: 1})
		p.PlainLoads.Add("c", api.ServerLoad{Requests: 1})
	}
	got, _ := p.Pick(begin, l, placement.Requirements{}, nil)
	if got.Name == "a" {
		t.Error("got the server that fails half of its requests, want another")
	}
}

func outcome(b bool) placement.Outcome {
	if b {
		return placement.Failed
	}
	return placement.Served
}

func TestCooldownGrowsAndEnds(t *testing.T) {
	p := placement.NewPicker(rand.NewPCG(1, 2))
	l := placement.Pool{Members: []roster.Member{member("a", "x", roster.Ready), member("b", "x", roster.Ready)}, Domain: "x"}
	p.PlainLoads.Add("b", api.ServerLoad{Requests: 4})
	pick := func(ms int) api.ServerName {
		s, _ := p.Pick(begin.Add(time.Duration(ms)*time.Millisecond), l, placement.Requirements{}, nil)
		return s.Name
	}
	p.Health.Record(begin, "a", placement.Lost)
	if got := pick(300); got != "a" {
		t.Errorf("300 ms after one loss: got %s, want a", got)
	}
	p.Health.Record(begin, "a", placement.Lost)
	p.Health.Record(begin, "a", placement.Lost)
	if got := pick(300); got != "b" {
		t.Errorf("300 ms after three losses: got %s, want b", got)
	}
	if got := pick(5000); got != "a" {
		t.Errorf("5 s after three losses: got %s, want a", got)
	}
}

// Sixty entry VMs with the same reports must not all choose the one idle server, which would
// overload it before their choices are reported to each other.
func TestEntryVMsDoNotAllPickTheSameServer(t *testing.T) {
	var l placement.Pool
	l.Memory, l.Domain = 34000, "x"
	for i := range 40 {
		l.Members = append(l.Members, member(fmt.Sprint("s", i), "x", roster.Ready))
	}
	got := map[api.ServerName]int{}
	for seed := range uint64(60) {
		p := placement.NewPicker(rand.NewPCG(seed, 0))
		p.PlainLoads.Update(begin, "primary", placement.Primary, placement.Report{Members: 59})
		for _, m := range l.Members[1:] {
			p.EngineLoads.Add(m.Name, load(8000, 0))
		}
		s, _ := p.Pick(begin, l, placement.Requirements{Tokens: 4000, Unread: 3000}, nil)
		got[s.Name]++
	}
	if got["s0"] > 10 {
		t.Errorf("choices of the idle server: got %d of 60, want at most 10", got["s0"])
	}
}

// With exact loads the least loaded server is chosen whatever the random draw, so that
// successive requests spread evenly.
func TestExactLoadsPickTheLeastLoadedServer(t *testing.T) {
	l := placement.Pool{Memory: 34000, Domain: "x", ExactLoads: true}
	for i := range 40 {
		l.Members = append(l.Members, member(fmt.Sprint("s", i), "x", roster.Ready))
	}
	p := placement.NewPicker(rand.NewPCG(1, 0))
	p.PlainLoads.Update(begin, "primary", placement.Primary, placement.Report{Members: 300})
	got := map[api.ServerName]int{}
	for range 80 {
		x, ok := p.Pick(begin, l, placement.Requirements{Tokens: 4000, Unread: 3000}, nil)
		if !ok {
			t.Fatal("got no server, want one")
		}
		p.EngineLoads.Add(x.Name, load(4000, 3000))
		got[x.Name]++
	}
	for n, k := range got {
		if k != 2 {
			t.Errorf("requests at %s: got %d, want 2", n, k)
		}
	}
}
