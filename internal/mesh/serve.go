package mesh

import (
	"context"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/decide/placement"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/mirror"
	"github.com/wardridge/wardridge/internal/wire"
)

// Paths of the mesh endpoints on the control address.
const (
	PathExchange    = "/mesh/v1/exchange"
	PathConfig      = "/mesh/v1/config"
	PathServers     = "/mesh/v1/servers"
	PathClosures    = "/mesh/v1/closures"
	PathRollouts    = "/mesh/v1/rollouts"
	PathQuarantines = "/mesh/v1/quarantines"
	PathApplied     = "/mesh/v1/applied"
	PathPlace       = "/mesh/v1/place"
	PathHolding     = "/mesh/v1/holding"
	PathPermit      = "/mesh/v1/permit"
	PathLeaving     = "/mesh/v1/leaving"
	PathPaths       = "/mesh/v1/paths"
	PathFollowing   = "/mesh/v1/following"
)

// maxMessageBytes bounds one message. The loads of 2,500 servers, at 60 bytes
// each, take 150,000 bytes.
const maxMessageBytes = 256 << 10

// Routes adds the mesh endpoints to the router of a control interface.
func (m *Mesh) Routes(r chi.Router) {
	r.Post(PathExchange, m.handleExchange)
	r.Post(PathPlace, m.handlePlace)
	r.Post(PathHolding, m.handleHolding)
	r.Post(PathPermit, m.handlePermit)
	r.Post(PathLeaving, m.handleLeaving)
	r.Post(PathPaths, m.handlePaths)
	r.Post(PathFollowing, m.handleFollowing)
	r.Get(PathApplied, m.handleApplied)
	for _, x := range m.pushers {
		x.routes(r)
	}
}

// sinceParam is the query parameter with the version up to which the requesting
// peer knows all changes of a kind.
const sinceParam = "since"

// handleDelta answers a peer with the changes of a kind after the version that it
// knows. A version that is not a number is read as zero, which requests all objects.
func handleDelta[T any](c *deltaCache[T]) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n, err := strconv.Atoi(r.URL.Query().Get(sinceParam))
		if err != nil {
			n = 0
		}
		c.write(w, r, api.Version(n))
	}
}

// handleExchange answers the exchange that a peer has started, then applies the
// peer's message.
func (m *Mesh) handleExchange(w http.ResponseWriter, q *http.Request) {
	var e api.Exchange
	if err := wire.Read(w, q, maxMessageBytes, &e); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	r := inverseRelation(e)
	if e.Protocol == gossip.Protocol {
		// The answer confirms the report in the message.
		m.Loads.MergeRetryReports(e.VM, e.Retries, nil)
	}
	wire.Write(w, http.StatusOK, m.newExchange(e.Self.Address, e.VM, r))
	m.receive(e, r)
}

// inverseRelation returns the relation of a peer to this entry VM. The message of
// the peer states the opposite one, of this entry VM to the peer.
func inverseRelation(e api.Exchange) placement.Relation {
	switch e.Relation {
	case api.ExchangeRelationPrimary:
		return placement.Attached
	case api.ExchangeRelationHub:
		return placement.Hub
	default:
		return placement.Unrelated
	}
}

// handleApplied answers a peer with the configuration in force here.
func (m *Mesh) handleApplied(w http.ResponseWriter, _ *http.Request) {
	wire.Write(w, http.StatusOK, m.Applied.Applied())
}

// fetchApplied fetches the configuration that a peer has in force and applies it.
func (m *Mesh) fetchApplied(address string) {
	m.Group.Go(func(ctx context.Context) error {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var d directory.Config
		if err := wire.Call(c, m.Client, http.MethodGet, "http://"+address+PathApplied, nil, &d); err != nil {
			m.Log.Emit(event.PeerSilent, zap.String("address", address), zap.Error(err))
			return nil
		}
		m.Applied.Apply(d)
		return nil
	})
}

// fetch requests the changes of a kind from a peer, which has them up to a version, and merges them
// into the mirror. If the call fails and no other peer has sent them meanwhile, the mirror refreshes
// from the platform. Entry VMs whose common peer fails do so one after the other.
func fetch[T any](m *Mesh, address, path string, k *mirror.Mirror[T], theirs api.Version) {
	m.Group.Go(func(ctx context.Context) error {
		err := m.fetchOnce(ctx, address, path, k.At(), func(c context.Context, u string) error {
			var d replica.Delta[T]
			if err := wire.Call(c, m.Client, http.MethodGet, u, nil, &d); err != nil {
				return err
			}
			k.Merge(d)
			return nil
		})
		if err == nil {
			return nil
		}
		m.Log.Emit(event.PeerSilent, zap.String("address", address), zap.Error(err))
		m.mutex.Lock()
		d := m.peers.Spread()
		m.mutex.Unlock()
		if duty.Sleep(ctx, d) && k.At() < theirs {
			k.Refresh()
		}
		return nil
	})
}

// fetchOnce makes one fetch of the changes after a version, or of all objects if it is zero.
func (m *Mesh) fetchOnce(ctx context.Context, address, path string, from api.Version, get func(c context.Context, url string) error) error {
	d := callTimeout
	if from == 0 {
		d = stateTimeout
	}
	c, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	err := get(c, "http://"+address+path+"?"+sinceParam+"="+strconv.Itoa(int(from)))
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.fetches[path].End()
	return err
}
