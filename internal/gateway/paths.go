package gateway

import (
	"math/rand/v2"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/connect"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/port"
)

// Paths tells whether this entry VM reaches the servers.
type Paths interface {
	// CutOff reports whether this entry VM reaches no server of a service itself while peers do.
	CutOff(s api.ServiceName) bool
	// Suspect records that a server of a service has not answered on an open connection.
	Suspect(s api.ServiceName)
}

// reachable is the Paths of an entry VM that always reaches the servers.
type reachable struct{}

func (reachable) CutOff(api.ServiceName) bool { return false }
func (reachable) Suspect(api.ServiceName)     {}

// FindServer returns the server at an address.
func (g *Gateway) FindServer(address string) (connect.Server, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	m, ok := g.roster.FindAddress(address)
	if !ok {
		return connect.Server{}, false
	}
	return connect.Server{Address: address, Service: m.Service, Peers: g.countAccepting(m.Service, address)}, true
}

// Services lists the services that have servers.
func (g *Gateway) Services() []api.ServiceName {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.roster.Services()
}

// SampleServers returns up to n servers of a service that accept requests, without the one at an
// address, in random order.
func (g *Gateway) SampleServers(s api.ServiceName, n int, except string) []connect.Server {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	members := g.roster.Service(s)
	var l []connect.Server
	for _, i := range rand.Perm(len(members)) {
		m := members[i]
		if len(l) == n {
			break
		}
		if m.AcceptsRequests() && m.Address != except {
			l = append(l, connect.Server{Address: m.Address, Service: s, Peers: g.countAccepting(s, m.Address)})
		}
	}
	return l
}

// countAccepting counts the servers of a service that accept requests, without the one at an address. The
// caller holds the mutex.
func (g *Gateway) countAccepting(s api.ServiceName, except string) int {
	n := 0
	for _, m := range g.roster.Service(s) {
		if m.AcceptsRequests() && m.Address != except {
			n++
		}
	}
	return n
}

// behindPartition reports whether an attempt failed because this entry VM does not reach the server,
// or not in time, rather than because of the server. The failure of a connection tells it itself.
func (g *Gateway) behindPartition(s roster.Server, err error) bool {
	return port.NoPath(err) || g.delayedByLink(err) || err != nil && !fault.Has(err, fault.NotStarted) && g.Paths.CutOff(s.Service)
}

// recordFailedAttempt records an attempt without an answer for the server and for the content.
func (g *Gateway) recordFailedAttempt(q *request, s roster.Server, err error) {
	if port.TimedOut(err) {
		g.recordFirstAnswer(q)
	}
	if !fault.Has(err, fault.NotStarted) && !fault.Has(err, fault.ServerRefused) && !g.delayedByLink(err) {
		g.Paths.Suspect(s.Service)
	}
	if fault.Has(err, fault.ServerRefused) || !g.behindPartition(s, err) {
		g.recordOutcome(s, serverOutcome(err))
	}
	g.recordBrokenRun(q, s, err, 0)
}
