package mesh

import (
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/gossip"
)

// ReportFollowing sends notices of what has changed since the last call: to hubs that the platform begins or
// stops to answer this one, and to members that no hub follows the platform. They would learn it from later
// exchanges.
func (m *Mesh) ReportFollowing() {
	direct, unanswered := m.direct(), m.Servers.Unanswered() || m.Config.Unanswered()
	m.mutex.Lock()
	if m.stopping {
		direct, unanswered = false, true
	}
	now := time.Now()
	var hubs []string
	switch {
	case direct == m.reportedDirect:
	case direct:
		m.reportedDirect = true
		hubs = m.peers.FollowTargets(now)
	case unanswered:
		m.reportedDirect, m.lostAt = false, now
		hubs = m.peers.HubTargets(now)
	case m.peers.HasRelay(now):
		m.reportedDirect = false
	}
	members := m.peers.UnfollowedTargets(now, direct, m.lostAt)
	m.mutex.Unlock()
	m.sendFollowing(hubs, direct, false)
	m.sendFollowing(members, direct, true)
}

// BeginStop hands the platform over to another hub, if this entry VM follows it, ahead of the process's end.
func (m *Mesh) BeginStop() {
	m.mutex.Lock()
	m.stopping = true
	m.peers.BeginStop()
	m.mutex.Unlock()
	m.ReportFollowing()
}

// sendFollowing sends a notice whether the platform answers this entry VM.
func (m *Mesh) sendFollowing(targets []string, direct, unfollowed bool) {
	if len(targets) == 0 {
		return
	}
	b, err := encodeGzip(api.FollowNotice{Protocol: gossip.Protocol, VM: m.VM, Address: m.Self.Address, Direct: direct, Unfollowed: unfollowed})
	if err != nil {
		// A message of strings and flags can always be encoded.
		return
	}
	m.startPushes(targets, []push{{path: PathFollowing, body: b}})
}

// handleFollowing records the notice of a peer.
func (m *Mesh) handleFollowing(w http.ResponseWriter, q *http.Request) {
	var n api.FollowNotice
	if !m.readNotice(w, q, &n, func() (api.VMName, int) { return n.VM, n.Protocol }) {
		return
	}
	m.mutex.Lock()
	m.peers.RecordFollowing(time.Now(), n.Address, n.Direct, n.Unfollowed)
	m.mutex.Unlock()
	w.WriteHeader(http.StatusNoContent)
	if m.FollowingChanged != nil {
		m.FollowingChanged()
	}
}
