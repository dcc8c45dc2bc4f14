package mesh

import (
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/decide/leavequery"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/wire"
)

// QueryRole returns the part that this entry VM has in the queries of engines, which are made while
// the platform is silent.
func (m *Mesh) QueryRole() leavequery.Role {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	direct := m.Servers.Direct()
	silent := m.peers.PlatformSilent(now, direct, m.Servers.Overdue())
	switch {
	case !silent && (direct || !m.peers.NoPeerInformed(now)):
		return leavequery.Nothing
	case silent && m.peers.QueriesEngines(now):
		return leavequery.Domain
	case m.peers.EnginesQueried(now):
		return leavequery.Nothing
	default:
		return leavequery.OwnRuns
	}
}

// SendSilence reports to the hubs that the platform has not answered this entry VM in time. They
// would learn it from the next exchange, which is too late for servers that leave at short notice.
func (m *Mesh) SendSilence() {
	m.mutex.Lock()
	l := m.peers.SilenceTargets(time.Now())
	m.mutex.Unlock()
	m.sendNotice(l)
}

// SendLeaving sends the servers that have announced their leave to the peers that pass them on.
func (m *Mesh) SendLeaving() {
	m.mutex.Lock()
	l := m.peers.NoticeTargets(time.Now())
	m.mutex.Unlock()
	m.sendNotice(l)
}

// sendNotice sends a notice to the given addresses. A later one replaces one that has not been sent
// yet, since it contains all that is known.
func (m *Mesh) sendNotice(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	m.noticing.Lock()
	defer m.noticing.Unlock()
	b, err := encodeGzip(api.LeaveNotice{
		Protocol: gossip.Protocol, VM: m.VM, Address: m.Self.Address, PlatformSilent: m.Servers.Overdue(), Leaving: m.Notices.AnnouncedLeaving(),
	})
	if err != nil {
		// A message of strings and numbers can always be encoded.
		return
	}
	m.startPushes(addresses, []push{{path: PathLeaving, body: b}})
}

// handleLeaving applies the notice of a peer.
func (m *Mesh) handleLeaving(w http.ResponseWriter, q *http.Request) {
	var n api.LeaveNotice
	if !m.readNotice(w, q, &n, func() (api.VMName, int) { return n.VM, n.Protocol }) {
		return
	}
	if n.PlatformSilent {
		m.mutex.Lock()
		m.peers.RecordSilence(time.Now(), n.Address)
		m.mutex.Unlock()
	}
	m.Notices.MarkLeaving(n.Leaving)
	w.WriteHeader(http.StatusNoContent)
}

// readNotice decodes the notice of a peer. It reports false after it has refused one that is invalid or of
// another version of the protocol; sender returns both from the decoded notice.
func (m *Mesh) readNotice(w http.ResponseWriter, q *http.Request, n any, sender func() (api.VMName, int)) bool {
	if err := wire.ReadGzip(w, q, maxMessageBytes, n); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return false
	}
	if f := m.checkProtocol(sender()); f != nil {
		wire.Refuse(w, f, "")
		return false
	}
	return true
}
