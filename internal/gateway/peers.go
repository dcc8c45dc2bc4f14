package gateway

import (
	"context"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Peers reaches the entry VMs that allocate engines.
type Peers interface {
	// Allocators lists the addresses of the entry VMs that may allocate the engines of a
	// failure domain, the first choice first. An empty address stands for this entry VM.
	Allocators(d api.DomainName) []string
	// RequestPlace requests a place at an engine from one of them.
	RequestPlace(ctx context.Context, address string, a api.PlaceAsk) (api.PlaceAnswer, error)
	// RequestPermit requests a send slot at a server with a rate limit from one of them.
	RequestPermit(ctx context.Context, address string, a api.PermitAsk) (api.PermitAnswer, error)
	// SendHolding reports to one of them what this entry VM holds there.
	SendHolding(ctx context.Context, address string, h api.Holding) error
}

// noPeers is the Peers of an entry VM that runs alone.
type noPeers struct{}

func (noPeers) Allocators(api.DomainName) []string { return []string{""} }

func (noPeers) RequestPlace(context.Context, string, api.PlaceAsk) (api.PlaceAnswer, error) {
	return api.PlaceAnswer{}, fault.New(fault.NotStarted, "there are no other entry VMs")
}

func (noPeers) RequestPermit(context.Context, string, api.PermitAsk) (api.PermitAnswer, error) {
	return api.PermitAnswer{}, fault.New(fault.NotStarted, "there are no other entry VMs")
}

func (noPeers) SendHolding(context.Context, string, api.Holding) error { return nil }
