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

// Permit asks the entry VM at an address for the turn of a request at a server with a limit.
func (m *Mesh) Permit(ctx context.Context, address string, a api.PermitAsk) (api.PermitAnswer, error) {
	var p api.PermitAnswer
	err := wire.Call(ctx, m.Client, http.MethodPost, "http://"+address+PathPermit, a, &p)
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
	if f := m.checkAsk(a); f != nil {
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

// permit answers an ask of a peer.
func (m *Mesh) permit(w http.ResponseWriter, q *http.Request) {
	var a api.PermitAsk
	if err := wire.Read(w, q, messageLimit, &a); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	f := m.checkProtocol(a.VM, a.Protocol)
	if f == nil && (a.PerSecond < 0 || a.PatienceMS < 0) {
		f = fault.New(fault.InvalidRequest, "the ask has a figure that can't be")
	}
	if f != nil {
		wire.Refuse(w, f, "")
		return
	}
	wire.Write(w, http.StatusOK, m.Engines.Permit(a))
}

// checkProtocol refuses a peer of another protocol.
func (m *Mesh) checkProtocol(vm api.VMName, protocol int) *fault.Error {
	if protocol == gossip.Protocol {
		return nil
	}
	m.Log.Emit(event.PeerRefused, zap.String("vm", string(vm)), zap.Int("protocol", protocol))
	return fault.New(fault.PeerProtocol, "the peer speaks another version of the protocol")
}

// hold takes the report of a peer.
func (m *Mesh) hold(w http.ResponseWriter, q *http.Request) {
	var h api.Holding
	if err := wire.Read(w, q, messageLimit, &h); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	if f := m.checkHolding(h); f != nil {
		wire.Refuse(w, f, "")
		return
	}
	m.Engines.UpdateHolding(h)
	w.WriteHeader(http.StatusNoContent)
}

// checkAsk refuses an ask that nothing can be given for.
func (m *Mesh) checkAsk(a api.PlaceAsk) *fault.Error {
	if f := m.checkHolding(a.Holding); f != nil {
		return f
	}
	switch {
	case a.Tokens < 0 || a.Unread < 0 || a.Ask <= 0 || a.Ask > a.Holding.Asked:
		return fault.New(fault.InvalidRequest, "the ask has a figure that can't be")
	case a.Purpose != api.PlaceAskPurposeRun && a.Purpose != api.PlaceAskPurposeMove && a.Purpose != api.PlaceAskPurposeCopy:
		return fault.New(fault.InvalidRequest, "the ask has no purpose")
	default:
		return nil
	}
}

// checkHolding refuses a peer of another protocol, and loads that can't be: one
// below zero would draw all requests to its engine.
func (m *Mesh) checkHolding(h api.Holding) *fault.Error {
	if f := m.checkProtocol(h.VM, h.Protocol); f != nil {
		return f
	}
	for _, l := range h.Loads {
		if l.Requests < 0 || l.Tokens < 0 || l.Unread < 0 {
			return fault.New(fault.InvalidRequest, "a load is below zero")
		}
	}
	for _, r := range h.Read {
		if r.Tokens < 0 || r.MS < 0 {
			return fault.New(fault.InvalidRequest, "a time to read is below zero")
		}
	}
	for _, x := range h.Met {
		if x.Served < 0 || x.Full < 0 || x.Failed < 0 || x.Lost < 0 {
			return fault.New(fault.InvalidRequest, "a count of outcomes is below zero")
		}
	}
	return nil
}
