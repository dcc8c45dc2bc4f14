package member

import (
	"slices"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Protocol is the version of the protocol that entry VMs use with each other.
const Protocol = 1

// Change reports that another entry VM has joined or, if Lost is set, was lost.
type Change struct {
	VM   api.VMName
	Lost bool
}

// Peer is another entry VM.
type Peer struct {
	VM          api.VMName
	Address     string
	heartbeat   api.Heartbeat
	heartbeatAt time.Time
	alive       bool
	// losses counts how often the peer was lost in its present incarnation; answers counts its
	// heartbeats since the last loss or gap.
	losses  int
	answers int
}

// maxTrustAnswers bounds the heartbeats in a row that a peer has to answer after losses.
const maxTrustAnswers = 8

// trusted reports whether a peer that answers heartbeats counts as alive: after its first answer
// if it was never lost, else after a number of answers that doubles with each loss. So a peer on
// an unstable link does not flap.
func (p *Peer) trusted() bool {
	return p.losses == 0 || p.answers >= min(1<<p.losses, maxTrustAnswers)
}

// Members is one entry VM's view of the other entry VMs.
type Members struct {
	self           api.VMName
	suspectTimeout time.Duration
	peers          map[api.VMName]*Peer
}

// New makes a view without peers. A peer whose last heartbeat is older than suspectTimeout is
// counted as lost.
func New(self api.VMName, suspectTimeout time.Duration) *Members {
	return &Members{self: self, suspectTimeout: suspectTimeout, peers: map[api.VMName]*Peer{}}
}

// ApplyList applies the platform's list of VMs. A peer that is not in it stays while it answers
// heartbeats, as the list lags.
func (m *Members) ApplyList(now time.Time, l []api.VM) {
	seen := map[api.VMName]bool{}
	for _, v := range l {
		n := api.VMName(v.Name)
		if v.Role != api.VMRoleEntry || n == m.self {
			continue
		}
		seen[n] = true
		m.setAddress(n, v.Address)
	}
	for n, p := range m.peers {
		if !seen[n] && now.Sub(p.heartbeatAt) > m.suspectTimeout {
			delete(m.peers, n)
		}
	}
}

func (m *Members) setAddress(n api.VMName, address string) {
	p, ok := m.peers[n]
	if !ok {
		p = &Peer{VM: n}
		m.peers[n] = p
	}
	p.Address = address
}

// HandleHeartbeat applies the heartbeat that a listed peer has answered with, and returns a change
// if the peer has joined by it. A heartbeat of an earlier incarnation than the last is dropped.
func (m *Members) HandleHeartbeat(now time.Time, b api.Heartbeat) (Change, bool) {
	p, ok := m.peers[b.VM]
	if !ok || b.Incarnation < p.heartbeat.Incarnation {
		return Change{}, false
	}
	if b.Incarnation > p.heartbeat.Incarnation {
		p.losses, p.answers = 0, 0
	}
	if now.Sub(p.heartbeatAt) > m.suspectTimeout {
		p.answers = 0
	}
	p.heartbeat = b
	p.heartbeatAt = now
	p.answers++
	if p.alive || !p.trusted() {
		return Change{}, false
	}
	p.alive = true
	return Change{VM: b.VM}, true
}

// DetectLost marks the peers whose last heartbeat is too old as lost, and returns them.
func (m *Members) DetectLost(now time.Time) []Change {
	var l []Change
	for _, p := range m.Peers() {
		if p.alive && now.Sub(p.heartbeatAt) > m.suspectTimeout {
			p.alive = false
			p.losses++
			p.answers = 0
			l = append(l, Change{VM: p.VM, Lost: true})
		}
	}
	return l
}

// Peers lists the other entry VMs in order of name.
func (m *Members) Peers() []*Peer {
	l := make([]*Peer, 0, len(m.peers))
	for _, p := range m.peers {
		l = append(l, p)
	}
	slices.SortFunc(l, func(a, b *Peer) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return l
}

// Address returns a peer's address, and false for an unknown peer.
func (m *Members) Address(n api.VMName) (string, bool) {
	p, ok := m.peers[n]
	if !ok {
		return "", false
	}
	return p.Address, true
}

// ServingCount counts the entry VMs that serve, this one included.
func (m *Members) ServingCount() int {
	n := 1
	for _, p := range m.peers {
		if p.alive && p.heartbeat.State == api.PeerStateServing {
			n++
		}
	}
	return n
}

// HaveRoom reports whether at least half of the other entry VMs that serve have room for more callers.
func (m *Members) HaveRoom() bool {
	serving, room := 0, 0
	for _, p := range m.peers {
		if !p.alive || p.heartbeat.State != api.PeerStateServing {
			continue
		}
		serving++
		if !p.heartbeat.NoRoom {
			room++
		}
	}
	return serving > 0 && 2*room >= serving
}

// ClaimsRewritten reports whether every other entry VM has rewritten its claims in an era of the
// platform. One that has never sent a heartbeat has not.
func (m *Members) ClaimsRewritten(e api.Era) bool {
	for _, p := range m.peers {
		if p.heartbeat.ClaimsEra < e {
			return false
		}
	}
	return true
}

// MaxConfigVersion is the highest configuration version in force at a live peer.
func (m *Members) MaxConfigVersion() api.Version {
	var v api.Version
	for _, p := range m.peers {
		if p.alive {
			v = max(v, p.heartbeat.ConfigVersion)
		}
	}
	return v
}

// Status lists the peers and their states as this entry VM sees them, in order of name.
func (m *Members) Status(now time.Time) []api.MemberStatus {
	l := []api.MemberStatus{}
	for _, p := range m.Peers() {
		s := api.MemberStatus{
			VM:            p.VM,
			State:         api.MemberStatusStateSuspect,
			ConfigVersion: p.heartbeat.ConfigVersion,
			InFlight:      p.heartbeat.InFlight,
			AgeMS:         -1,
		}
		if !p.heartbeatAt.IsZero() {
			s.AgeMS = api.ToMilliseconds(now.Sub(p.heartbeatAt))
		}
		if p.alive {
			s.State = api.MemberStatusState(p.heartbeat.State)
		}
		l = append(l, s)
	}
	return l
}
