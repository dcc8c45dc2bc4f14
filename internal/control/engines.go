package control

import (
	"context"
	"net/http"
	"sync"

	"github.com/go-chi/chi/v5"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/role"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/peer"
	"github.com/wardridge/wardridge/internal/wire"
)

// EngineAllocator lists and pins the engines that this entry VM allocates, and knows the
// allocators of the others.
type EngineAllocator interface {
	// EngineDomains lists the failure domains with engines of a service, or with any engines if
	// no service is given, by name.
	EngineDomains(n api.ServiceName) ([]api.DomainName, error)
	// EngineDomain returns the failure domain of an engine.
	EngineDomain(n api.ServerName) (api.DomainName, error)
	// EngineAllocator returns the address of the entry VM that allocates the engines of a
	// failure domain, empty for this one, or false if none is known.
	EngineAllocator(d api.DomainName) (string, bool)
	// Engines lists the engines of this entry VM's failure domain, or only those of one
	// service.
	Engines(n api.ServiceName) []api.EngineStatus
	// PinEngine pins the role of an engine that this entry VM allocates.
	PinEngine(n api.ServerName, r role.Role) error
	// UnpinEngine clears the pin of an engine that this entry VM allocates.
	UnpinEngine(n api.ServerName) error
}

// EngineOptions are the components that the operators' view of engines depends on.
type EngineOptions struct {
	VM     api.VMName
	Domain api.DomainName
	// Address is the control address of this entry VM.
	Address   string
	Allocator EngineAllocator
	Peers     *peer.Client
}

// Engines serves the operators' view of the engines of an entry VM on a hosting platform. It
// passes requests on to the allocators of other engines.
type Engines struct {
	EngineOptions
}

// NewEngines creates the operators' view of engines.
func NewEngines(p EngineOptions) *Engines {
	return &Engines{EngineOptions: p}
}

// Routes adds the endpoints to the router of a control interface.
func (e *Engines) Routes(r chi.Router) {
	r.Get(peer.PathEngines, e.list)
	r.Post(peer.PathPin, e.pin)
	r.Post(peer.PathUnpin, e.unpin)
}

// isAlone reports whether a request must not be passed on to other entry VMs.
func isAlone(r *http.Request) bool {
	return r.URL.Query().Get("alone") == "true"
}

// list answers with the engines of all known failure domains, or of this entry VM's own if the
// query contains alone=true.
func (e *Engines) list(w http.ResponseWriter, r *http.Request) {
	n := api.ServiceName(r.URL.Query().Get("service"))
	domains, err := e.Allocator.EngineDomains(n)
	if err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	alone := isAlone(r)
	if alone {
		domains = []api.DomainName{e.Domain}
	}
	l := api.EngineList{VM: e.VM, Domains: make([]api.DomainEngines, len(domains))}
	var g sync.WaitGroup
	for i, d := range domains {
		g.Go(func() { l.Domains[i] = e.domain(r.Context(), d, n, alone) })
	}
	g.Wait()
	wire.Write(w, http.StatusOK, l)
}

// domain lists the engines of a failure domain as their allocator knows them.
func (e *Engines) domain(ctx context.Context, d api.DomainName, n api.ServiceName, alone bool) api.DomainEngines {
	x := api.DomainEngines{Domain: d, Engines: []api.EngineStatus{}}
	a, ok := e.Allocator.EngineAllocator(d)
	switch {
	case !ok:
		x.Missing = "no entry VM is known that allocates these engines"
		return x
	case a == "":
		x.VM, x.Allocator, x.Engines = e.VM, e.Address, e.Allocator.Engines(n)
		return x
	}
	x.Allocator = a
	if alone {
		x.Missing = "another entry VM allocates these engines"
		return x
	}
	l, err := e.Peers.Engines(ctx, a, n, true)
	if err != nil {
		x.Missing = "the entry VM that allocates these engines gave no list: " + fault.From(err).Error()
		return x
	}
	for _, y := range l.Domains {
		if y.Domain == d && y.Missing == "" {
			return y
		}
	}
	x.Missing = "the entry VM at this address does not allocate these engines at the moment"
	return x
}

func (e *Engines) pin(w http.ResponseWriter, r *http.Request) {
	e.changePin(w, r, e.Peers.Pin, func(x api.EnginePin) error {
		k, ok := role.Parse(x.Role)
		if !ok {
			return fault.New(fault.InvalidRequest, "the role is none of prefill, decode and any")
		}
		return e.Allocator.PinEngine(x.Server, k)
	})
}

func (e *Engines) unpin(w http.ResponseWriter, r *http.Request) {
	e.changePin(w, r, e.Peers.Unpin, func(x api.EnginePin) error { return e.Allocator.UnpinEngine(x.Server) })
}

// changePin changes the pin of an engine here, or passes the request on to the engine's
// allocator unless the query contains alone=true.
func (e *Engines) changePin(w http.ResponseWriter, r *http.Request, forward func(context.Context, string, api.EnginePin, bool) (api.EnginePinAnswer, error), change func(api.EnginePin) error) {
	var x api.EnginePin
	if err := wire.Read(w, r, maxBodyBytes, &x); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	a := api.EnginePinAnswer{VM: e.VM, Server: x.Server}
	address, err := e.allocatorOf(x.Server)
	switch {
	case err != nil:
	case address == "" || isAlone(r):
		err = change(x)
	default:
		a, err = forward(r.Context(), address, x, true)
	}
	if err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	wire.Write(w, http.StatusOK, a)
}

// allocatorOf returns the address of the entry VM that allocates an engine, empty for this one.
func (e *Engines) allocatorOf(n api.ServerName) (string, error) {
	d, err := e.Allocator.EngineDomain(n)
	if err != nil {
		return "", err
	}
	a, ok := e.Allocator.EngineAllocator(d)
	if !ok {
		return "", fault.New(fault.PeerUnreachable, "no entry VM is known that allocates the engines of failure domain "+string(d))
	}
	return a, nil
}

// refuseEngines answers requests for classes and roles of engines on the own interface.
func refuseEngines(w http.ResponseWriter, _ *http.Request) {
	wire.Refuse(w, fault.New(fault.UnknownPath, "this entry VM does not serve a hosting platform: its engines have no classes and roles; wardctl status lists them"), "")
}
