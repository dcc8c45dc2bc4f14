package gossip_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/gossip"
)

// hubAt creates the peers of one hub that hears others: two in each of the failure domains d0 to d2, in the
// order of takeover 0.0, 1.0, 2.0, 0.1, 1.1, 2.1. It is a hub since long ago.
func hubAt(domain, index int) *gossip.Peers {
	p := gossip.New(at(0), gossip.Member{Address: address(domain, index), Domain: api.DomainName(fmt.Sprint("d", domain))}, nil, 2)
	for ms := 0; ms <= 4000; ms += 250 {
		hearHubs(p, ms, domain, index, address(0, 0))
		p.Due(at(ms))
	}
	return p
}

// hearHubs passes on messages of all hubs but the one given, of which the platform answers only one.
func hearHubs(p *gossip.Peers, ms, domain, index int, direct string) {
	for d := range 3 {
		for i := range 2 {
			if a := address(d, i); d != domain || i != index {
				p.Receive(at(ms), gossip.Message{Member: gossip.Member{Address: a, Domain: api.DomainName(fmt.Sprint("d", d)), Hub: true}, VM: api.VMName(a), Direct: a == direct, Informed: true})
			}
		}
	}
}

// When several of the first in line are cut off from the platform at once, the next ones must not wait for
// each of them in turn.
func TestTakeoverWaitsForNoFailure(t *testing.T) {
	for _, c := range []struct {
		domain, index int
		// wait is how long after the report of the first the hub begins to follow the platform.
		wait time.Duration
	}{{1, 0, 0}, {2, 0, 150 * time.Millisecond}, {0, 1, 150 * time.Millisecond}, {1, 1, 300 * time.Millisecond}, {2, 1, 300 * time.Millisecond}} {
		t.Run(address(c.domain, c.index), func(t *testing.T) {
			p := hubAt(c.domain, c.index)
			if !p.HasRelay(at(4100)) {
				t.Fatal("while the first follows the platform: got no relay, want one")
			}
			p.RecordFollowing(at(4100), address(0, 0), false, false)
			if before := at(4100).Add(c.wait - time.Millisecond); c.wait > 0 && !p.HasRelay(before) {
				t.Errorf("just before its turn: got no relay, want one")
			}
			if p.HasRelay(at(4100).Add(c.wait)) {
				t.Errorf("%v after the report of the first: got a relay, want it to follow the platform", c.wait)
			}
		})
	}
}

// Once one of the next in line is answered, those after it must not call the platform.
func TestTakeoverEndsWithTheFirstAnswer(t *testing.T) {
	p := hubAt(2, 1)
	p.RecordFollowing(at(4100), address(0, 0), false, false)
	p.RecordFollowing(at(4200), address(2, 0), true, false)
	if !p.HasRelay(at(4500)) {
		t.Error("after a hub before it was answered: got no relay, want one")
	}
	if !p.Informed(at(4500)) {
		t.Error("informed: got false, want true")
	}
	p.RecordFollowing(at(4500), address(2, 0), false, false)
	if p.HasRelay(at(4800)) {
		t.Error("after that one was lost as well: got a relay, want it to follow the platform")
	}
}

// A hub that falls silent without a report is relied on for a while, by the next in line for less time.
func TestTakeoverAfterSilence(t *testing.T) {
	for _, c := range []struct {
		domain, relied, follows int
	}{{1, 4790, 4800}, {2, 5640, 5650}} {
		p := hubAt(c.domain, 0)
		if !p.HasRelay(at(c.relied)) || p.HasRelay(at(c.follows)) {
			t.Errorf("%s: got relay %v at %d ms and %v at %d ms, want true and false", address(c.domain, 0), p.HasRelay(at(c.relied)), c.relied, p.HasRelay(at(c.follows)), c.follows)
		}
	}
}

// Members must learn that no hub follows the platform, and then call it themselves without the wait for silent
// hubs.
func TestMembersFollowOnceAllHubsHadTheirTurn(t *testing.T) {
	m := gossip.Member{Address: "10.0.0.900:1", Domain: "d0"}
	hub := hubAt(0, 1)
	hub.Receive(at(4050), gossip.Message{Member: m, VM: "m"})
	hub.RecordFollowing(at(4100), address(0, 0), false, false)
	if got := hub.UnfollowedTargets(at(4500), false, time.Time{}); len(got) > 0 {
		t.Errorf("while hubs have their turn: got targets %v, want none", got)
	}
	if got := hub.UnfollowedTargets(at(4600), true, time.Time{}); len(got) > 0 {
		t.Errorf("of a hub that the platform answers: got targets %v, want none", got)
	}
	if got := hub.UnfollowedTargets(at(4600), false, time.Time{}); len(got) != 1 || got[0] != m.Address {
		t.Errorf("after their turn: got targets %v, want %s", got, m.Address)
	}
	if got := hub.UnfollowedTargets(at(4700), false, time.Time{}); len(got) > 0 {
		t.Errorf("a second time: got targets %v, want none", got)
	}
	p := gossip.New(at(0), m, nil, 2)
	for ms := 0; ms <= 4000; ms += 250 {
		hearHubs(p, ms, 9, 9, address(0, 0))
		p.Due(at(ms))
	}
	p.RecordFollowing(at(4600), address(0, 1), false, true)
	if p.HasRelay(at(4600).Add(p.Spread())) {
		t.Error("a member after the notice: got a relay, want it to follow the platform")
	}
	hearHubs(p, 4750, 9, 9, address(2, 0))
	if !p.HasRelay(at(5000)) {
		t.Error("a member once a hub is informed again: got no relay, want one")
	}
}
