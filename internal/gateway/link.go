package gateway

import (
	"time"

	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/fault"
)

// Link tells whether the network link of this entry VM has room.
type Link interface {
	// TurnsAway reports whether callers are turned away while peers have room for them.
	TurnsAway() bool
	// AcceptsStream reports whether a stream is taken whose request has been read.
	AcceptsStream() bool
	// Overloaded reports whether the link is so full that what it delays tells nothing of the other ends.
	Overloaded() bool
}

// unboundedLink is the Link of an entry VM that bounds no callers.
type unboundedLink struct{}

func (unboundedLink) TurnsAway() bool     { return false }
func (unboundedLink) AcceptsStream() bool { return true }
func (unboundedLink) Overloaded() bool    { return false }

const (
	// elsewhereRetryAfter is the Retry-After of a request that another entry VM has room for, and
	// linkRetryAfter that of one for which none has.
	elsewhereRetryAfter = 50 * time.Millisecond
	linkRetryAfter      = time.Second
)

// checkLink refuses a stream for which the link has no room.
func (g *Gateway) checkLink(x *directory.Route) *fault.Error {
	if x.Kind != directory.Stream || g.Link.AcceptsStream() {
		return nil
	}
	after := linkRetryAfter
	if g.Link.TurnsAway() {
		after = elsewhereRetryAfter
	}
	return fault.New(fault.BandwidthShort, "the network link of this entry VM has no room for another stream").WithRetryAfter(after)
}

// ClosesConnections reports whether callers should use other entry VMs, so that their connections are
// closed after the current answer.
func (g *Gateway) ClosesConnections() bool {
	return g.Stopping() || g.Link.TurnsAway()
}
