package member_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/member"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func entryVM(n string) api.VM {
	return api.VM{Name: n, Role: api.VMRoleEntry, State: api.VMStateLive, Address: n + ":1"}
}

func heartbeat(n api.VMName, i api.Incarnation, v api.Version) api.Heartbeat {
	return api.Heartbeat{Protocol: member.Protocol, VM: n, Incarnation: i, State: api.PeerStateServing, ConfigVersion: v}
}

func TestPeerCountsFromFirstHeartbeatUntilTimeout(t *testing.T) {
	m := member.New("a", time.Second)
	m.ApplyList(epoch, []api.VM{entryVM("a"), entryVM("b")})
	if got := m.ServingCount(); got != 1 {
		t.Errorf("before a heartbeat: got %d, want 1", got)
	}
	if _, ok := m.HandleHeartbeat(epoch, heartbeat("b", 1, 3)); !ok {
		t.Errorf("first heartbeat: got no change, want one")
	}
	if got := m.ServingCount(); got != 2 {
		t.Errorf("after a heartbeat: got %d, want 2", got)
	}
	l := m.DetectLost(epoch.Add(2 * time.Second))
	if len(l) != 1 || !l[0].Lost {
		t.Errorf("after silence: got %v, want b lost", l)
	}
	if got := m.ServingCount(); got != 1 {
		t.Errorf("after silence: got %d, want 1", got)
	}
}

func TestHeartbeatOfEarlierIncarnationIsDropped(t *testing.T) {
	m := member.New("a", time.Second)
	m.ApplyList(epoch, []api.VM{entryVM("b")})
	m.HandleHeartbeat(epoch, heartbeat("b", 2, 9))
	m.HandleHeartbeat(epoch, heartbeat("b", 1, 50))
	if got, want := m.MaxConfigVersion(), api.Version(9); got != want {
		t.Errorf("highest configuration version: got %d, want %d", got, want)
	}
}

func TestLaggingListDoesNotRemoveLivePeer(t *testing.T) {
	m := member.New("a", time.Second)
	m.ApplyList(epoch, []api.VM{entryVM("b")})
	m.HandleHeartbeat(epoch, heartbeat("b", 1, 1))
	m.ApplyList(epoch.Add(500*time.Millisecond), nil)
	if _, ok := m.Address("b"); !ok {
		t.Errorf("live peer that is not listed: got removed, want kept")
	}
	m.ApplyList(epoch.Add(5*time.Second), nil)
	if _, ok := m.Address("b"); ok {
		t.Errorf("silent peer that is not listed: got kept, want removed")
	}
}

func TestPeerOnUnstableLinkDoesNotFlap(t *testing.T) {
	m := member.New("a", time.Second)
	m.ApplyList(epoch, []api.VM{entryVM("b")})
	changes := 0
	now := epoch
	// The link alternates between two heartbeats and two seconds of silence.
	for range 50 {
		for range 2 {
			now = now.Add(300 * time.Millisecond)
			if _, ok := m.HandleHeartbeat(now, heartbeat("b", 1, 1)); ok {
				changes++
			}
		}
		now = now.Add(2 * time.Second)
		changes += len(m.DetectLost(now))
	}
	if changes > 4 {
		t.Errorf("changes over 50 interruptions: got %d, want at most 4", changes)
	}
	for range 10 {
		now = now.Add(300 * time.Millisecond)
		m.HandleHeartbeat(now, heartbeat("b", 1, 1))
	}
	if got := m.ServingCount(); got != 2 {
		t.Errorf("on a stable link again: got %d serving, want 2", got)
	}
}

func TestRestartedPeerIsTrustedAtOnce(t *testing.T) {
	m := member.New("a", time.Second)
	m.ApplyList(epoch, []api.VM{entryVM("b")})
	m.HandleHeartbeat(epoch, heartbeat("b", 1, 1))
	m.DetectLost(epoch.Add(2 * time.Second))
	if _, ok := m.HandleHeartbeat(epoch.Add(3*time.Second), heartbeat("b", 2, 1)); !ok {
		t.Errorf("heartbeat of a new incarnation: got no change, want the peer alive at once")
	}
}
