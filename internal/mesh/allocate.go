package mesh

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/wire"
)

// Allocators lists the addresses of the entry VMs that may allocate the engines
// of a failure domain, the first choice first; the own one is empty.
func (m *Mesh) Allocators(d api.DomainName) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peers.Allocators(time.Now(), d)
}

// Ask asks the entry VM at an address for a place at an engine.
func (m *Mesh) Ask(ctx context.Context, address string, a api.PlaceAsk) (api.PlaceAnswer, error) {
	var p api.PlaceAnswer
	err := wire.Call(ctx, m.Client, http.MethodPost, "http://"+address+PathPlace, a, &p)
	return p, err
}

// Report tells the entry VM at an address what this one holds there.
func (m *Mesh) Report(ctx context.Context, address string, h api.Holding) error {
	return wire.Call(ctx, m.Client, http.MethodPost, "http://"+address+PathHolding, h, nil)
}

// place answers an ask of a peer.
func (m *Mesh) place(w http.ResponseWriter, q *http.Request) {
	var a api.PlaceAsk
	if err := wire.Read(w, q, messageLimit, &a); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	if f := m.foreign(a.Holding); f != nil {
		wire.Refuse(w, f, "")
		return
	}
	p, err := m.Engines.Place(q.Context(), a)
	if err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	wire.Write(w, http.StatusOK, p)
}

// hold takes the report of a peer.
func (m *Mesh) hold(w http.ResponseWriter, q *http.Request) {
	var h api.Holding
	if err := wire.Read(w, q, messageLimit, &h); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	if f := m.foreign(h); f != nil {
		wire.Refuse(w, f, "")
		return
	}
	m.Engines.Hold(h)
	w.WriteHeader(http.StatusNoContent)
}

// foreign refuses a peer of another protocol.
func (m *Mesh) foreign(h api.Holding) *fault.Error {
	if h.Protocol == gossip.Protocol {
		return nil
	}
	m.Log.Emit(event.PeerRefused, zap.String("vm", string(h.VM)), zap.Int("protocol", h.Protocol))
	return fault.New(fault.PeerProtocol, "the peer speaks another version of the protocol")
}
