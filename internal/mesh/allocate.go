package mesh

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/decide/speed"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/wire"
)

// Allocators lists the addresses of the entry VMs that may allocate the engines
// of a failure domain, in order of preference. The address of this entry VM is
// given as the empty string.
func (m *Mesh) Allocators(d api.DomainName) []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.peers.Allocators(time.Now(), d)
}

// RequestPlace requests a place at an engine from the allocator at an address.
func (m *Mesh) RequestPlace(ctx context.Context, address string, a api.PlaceAsk) (api.PlaceAnswer, error) {
	var p api.PlaceAnswer
	err := wire.Call(ctx, m.Client, http.MethodPost, "http://"+address+PathPlace, a, &p)
	return p, err
}

// RequestPermit requests a send slot at a rate-limited server from the entry VM at an address.
func (m *Mesh) RequestPermit(ctx context.Context, address string, a api.PermitAsk) (api.PermitAnswer, error) {
	var p api.PermitAnswer
	err := wire.Call(ctx, m.Client, http.MethodPost, "http://"+address+PathPermit, a, &p)
	return p, err
}

// SendHolding reports to the allocator at an address what this entry VM holds at its engines.
func (m *Mesh) SendHolding(ctx context.Context, address string, h api.Holding) error {
	return wire.Call(ctx, m.Client, http.MethodPost, "http://"+address+PathHolding, h, nil)
}

// handlePlace answers a peer's request for a place at an engine.
func (m *Mesh) handlePlace(w http.ResponseWriter, q *http.Request) {
	var a api.PlaceAsk
	if err := wire.Read(w, q, maxMessageBytes, &a); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	if f := m.checkPlaceAsk(a); f != nil {
		wire.Refuse(w, f, "")
		return
	}
	p, err := m.Allocator.Place(q.Context(), a)
	if err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	wire.Write(w, http.StatusOK, p)
}

// handlePermit answers a peer's request for a send slot at a rate-limited server.
func (m *Mesh) handlePermit(w http.ResponseWriter, q *http.Request) {
	var a api.PermitAsk
	if err := wire.Read(w, q, maxMessageBytes, &a); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	f := m.checkProtocol(a.VM, a.Protocol)
	if f == nil && (a.PerSecond < 0 || a.PatienceMS < 0) {
		f = fault.New(fault.InvalidRequest, "the rate or the maximum wait of the permit request is negative")
	}
	if f != nil {
		wire.Refuse(w, f, "")
		return
	}
	wire.Write(w, http.StatusOK, m.Allocator.Permit(a))
}

// checkProtocol refuses a peer that uses another version of the protocol.
func (m *Mesh) checkProtocol(vm api.VMName, protocol int) *fault.Error {
	if protocol == gossip.Protocol {
		return nil
	}
	m.Log.Emit(event.PeerRefused, zap.String("vm", string(vm)), zap.Int("protocol", protocol))
	return fault.New(fault.PeerProtocol, "the peer uses another version of the protocol")
}

// handleHolding records a peer's report on what it holds at the local engines.
func (m *Mesh) handleHolding(w http.ResponseWriter, q *http.Request) {
	var h api.Holding
	if err := wire.Read(w, q, maxMessageBytes, &h); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	if f := m.checkHolding(h); f != nil {
		wire.Refuse(w, f, "")
		return
	}
	m.Allocator.UpdateHolding(h)
	w.WriteHeader(http.StatusNoContent)
}

// purposes are the known purposes of a place.
var purposes = []api.PlaceAskPurpose{api.PlaceAskPurposeRun, api.PlaceAskPurposeMove, api.PlaceAskPurposeCopy, api.PlaceAskPurposeShift, api.PlaceAskPurposeHandoff}

// checkPlaceAsk refuses a request for a place whose values are invalid.
func (m *Mesh) checkPlaceAsk(a api.PlaceAsk) *fault.Error {
	if f := m.checkHolding(a.Holding); f != nil {
		return f
	}
	switch {
	case a.Tokens < 0 || a.Unread < 0 || a.Ask <= 0 || a.Ask > a.Holding.Asked:
		return fault.New(fault.InvalidRequest, "a token count or the sequence number of the place request is out of range")
	case a.GapMS < 0:
		return fault.New(fault.InvalidRequest, "the gap target of the place request is negative")
	case !slices.Contains(purposes, a.Purpose):
		return fault.New(fault.InvalidRequest, "the place request has no known purpose")
	default:
		return nil
	}
}

// checkHolding refuses a peer that uses another version of the protocol, and
// negative values: a negative load would attract all requests to its engine.
func (m *Mesh) checkHolding(h api.Holding) *fault.Error {
	if f := m.checkProtocol(h.VM, h.Protocol); f != nil {
		return f
	}
	for _, l := range h.Loads {
		if l.Requests < 0 || l.Tokens < 0 || l.Unread < 0 || l.Protected < 0 {
			return fault.New(fault.InvalidRequest, "a load is negative")
		}
	}
	for _, r := range h.Read {
		if r.Tokens < 0 || r.MS < 0 {
			return fault.New(fault.InvalidRequest, "a read time or its token count is negative")
		}
	}
	for _, x := range h.Met {
		if x.Served < 0 || x.Full < 0 || x.Failed < 0 || x.Lost < 0 {
			return fault.New(fault.InvalidRequest, "a count of outcomes is negative")
		}
	}
	return checkSpeeds(h.Speeds)
}

// checkSpeeds refuses samples of engine speeds that can't have been observed.
func checkSpeeds(l map[string]api.SpeedSample) *fault.Error {
	if len(l) > speed.MaxEngines {
		return fault.New(fault.InvalidRequest, "there are samples of the speeds of too many engines")
	}
	for _, x := range l {
		if f := speed.Check(x); f != nil {
			return f
		}
	}
	return nil
}
