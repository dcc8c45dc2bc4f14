package gateway

import (
	"context"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Peers reaches the entry VMs that allocate engines.
type Peers interface {
	// Allocators lists the addresses of those that may allocate the engines of a
	// failure domain, the first choice first; empty stands for this entry VM.
	Allocators(d api.DomainName) []string
	// Place asks one of them for a place.
	Place(ctx context.Context, address string, a api.PlaceAsk) (api.PlaceAnswer, error)
	// Permit asks one of them for the turn of a request at a server with a limit.
	Permit(ctx context.Context, address string, a api.PermitAsk) (api.PermitAnswer, error)
	// Report tells one of them what this entry VM holds there.
	Report(ctx context.Context, address string, h api.Holding) error
}

// noPeers stands for the peers of an entry VM without any.
type noPeers struct{}

func (noPeers) Allocators(api.DomainName) []string { return []string{""} }

func (noPeers) Place(context.Context, string, api.PlaceAsk) (api.PlaceAnswer, error) {
	return api.PlaceAnswer{}, fault.New(fault.NotStarted, "there are no other entry VMs")
}

func (noPeers) Permit(context.Context, string, api.PermitAsk) (api.PermitAnswer, error) {
	return api.PermitAnswer{}, fault.New(fault.NotStarted, "there are no other entry VMs")
}

func (noPeers) Report(context.Context, string, api.Holding) error { return nil }
