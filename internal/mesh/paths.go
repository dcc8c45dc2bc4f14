package mesh

import (
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/gossip"
)

// addPaths adds the reports on paths to servers to a message to the peer at an address.
func (m *Mesh) addPaths(e *api.Exchange, address string) {
	if m.Paths == nil {
		return
	}
	l, age, ok := m.Paths.PathReports(address)
	if ok {
		e.Paths, e.PathsAlerted, e.PathsAlertAgeMS = l, true, api.ToMilliseconds(age)
	}
}

// mergePaths records the reports on paths to servers in a peer's message.
func (m *Mesh) mergePaths(e api.Exchange) {
	if m.Paths != nil && e.PathsAlerted {
		m.Paths.MergePathReports(e.Paths, e.PathsAlertAgeMS.Duration())
	}
}

// SendPaths sends that an entry VM fails to reach a service: as a hub to all peers, and otherwise to the
// hubs of the failure domain, if this entry VM has found it out itself. They would learn it from later
// exchanges.
func (m *Mesh) SendPaths(found bool) {
	if m.Paths == nil {
		return
	}
	paths, age, ok := m.Paths.PathReports("")
	if !ok {
		return
	}
	b, err := encodeGzip(api.PathNotice{Protocol: gossip.Protocol, VM: m.VM, AlertAgeMS: api.ToMilliseconds(age), Paths: paths})
	if err != nil {
		// A message of strings and numbers can always be encoded.
		return
	}
	m.mutex.Lock()
	targets := m.peers.PathTargets(time.Now(), found)
	m.mutex.Unlock()
	m.startPushes(targets, []push{{path: PathPaths, body: b}})
}

// handlePaths records the notice of a peer.
func (m *Mesh) handlePaths(w http.ResponseWriter, q *http.Request) {
	var n api.PathNotice
	if !m.readNotice(w, q, &n, func() (api.VMName, int) { return n.VM, n.Protocol }) {
		return
	}
	if m.Paths != nil {
		m.Paths.MergePathReports(n.Paths, n.AlertAgeMS.Duration())
	}
	w.WriteHeader(http.StatusNoContent)
}

// PeersHaveRoom reports whether peers take the callers that this entry VM turns away.
func (m *Mesh) PeersHaveRoom() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peers.HasRoom(time.Now())
}
