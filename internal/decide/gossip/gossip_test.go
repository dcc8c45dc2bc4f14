package gossip_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/gossip"
)

var begin = time.Unix(100, 0)

func at(ms int) time.Time {
	return begin.Add(time.Duration(ms) * time.Millisecond)
}

// A peer that is behind as well must not hide that another one is ahead.
func TestLagSeesPeerAheadBesidePeerBehind(t *testing.T) {
	var l gossip.Lag
	got := false
	for ms := 0; ms <= 1000; ms += 250 {
		got = got || l.Ask(at(ms), 22, 40, false)
		got = got || l.Ask(at(ms+10), 22, 22, false)
	}
	if !got {
		t.Error("asked within a second: got false, want true")
	}
}

func TestLagWaitsForOwnWatch(t *testing.T) {
	var l gossip.Lag
	if got := l.Ask(at(0), 22, 40, false); got {
		t.Error("first word of more: got true, want false")
	}
	if got := l.Ask(at(400), 41, 42, false); got {
		t.Error("after the own watch moved on: got true, want false")
	}
}

func TestLagAsksAtOnceWithoutPlatform(t *testing.T) {
	var l gossip.Lag
	if got := l.Ask(at(0), 22, 40, true); !got {
		t.Error("platform away: got false, want true")
	}
	if got := l.Ask(at(0), 0, 40, false); !got {
		t.Error("nothing known: got false, want true")
	}
}

func TestPeersAreLearnedAndDropped(t *testing.T) {
	p := gossip.New(at(0), "a:1", []string{"b:1", "a:1"})
	if got, want := p.Round(at(0)), []string{"b:1"}; !slices.Equal(got, want) {
		t.Fatalf("first round: got %v, want %v", got, want)
	}
	p.Heard(at(10), gossip.Word{VM: "b", Address: "b:1", Others: []string{"c:1"}})
	if got, want := p.Round(at(250)), []string{"b:1", "c:1"}; !slices.Equal(got, want) {
		t.Errorf("after a message: got %v, want %v", got, want)
	}
	if got, want := p.Live(at(300)), []string{"b:1"}; !slices.Equal(got, want) {
		t.Errorf("live: got %v, want %v", got, want)
	}
	p.Round(at(30000))
	if got := p.Round(at(32000)); slices.Contains(got, "c:1") {
		t.Errorf("after 32 s of silence: got %v, want no c:1", got)
	}
	if got := p.Round(at(34000)); !slices.Contains(got, "b:1") {
		t.Errorf("address from the settings: got %v, want b:1", got)
	}
}

// Of two live peers one begins the exchange.
func TestLowerAddressBegins(t *testing.T) {
	p := gossip.New(at(0), "b:1", []string{"a:1", "c:1"})
	p.Heard(at(0), gossip.Word{VM: "a", Address: "a:1", Others: nil})
	p.Heard(at(0), gossip.Word{VM: "c", Address: "c:1", Others: nil})
	if got, want := p.Round(at(100)), []string{"c:1"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
