package gossip_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/gossip"
)

// Peers that are cut off as well must not be asked for connections, and a whole failure domain behind a
// partition must not leave an entry VM without a peer to ask.
func TestRelaysLeaveOutPeersThatAreCutOff(t *testing.T) {
	now := time.Unix(100, 0)
	p := gossip.New(now, gossip.Member{Address: "self", Domain: "a"}, nil, 2)
	hear := func(address, domain string, hub, cutOff bool) {
		m := gossip.Member{Address: address, Domain: api.DomainName(domain), Hub: hub}
		p.Receive(now, gossip.Message{Member: m, VM: "vm", CutOff: cutOff, Members: []gossip.Member{{Address: "hub-c", Domain: "c", Hub: true}, {Address: "member-c", Domain: "c"}}})
	}
	hear("near", "a", false, false)
	hear("cut", "a", true, true)
	hear("hub-b", "b", true, false)
	got := p.Relays(now)
	slices.Sort(got)
	if want := []string{"hub-b", "hub-c", "near"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if l := p.Relays(now); l[0] != "near" {
		t.Errorf("first: got %s, want the one of the same failure domain", l[0])
	}
	if got := p.Relays(now.Add(time.Minute)); len(got) > 0 {
		t.Errorf("after a minute of silence: got %v, want none", got)
	}
}
