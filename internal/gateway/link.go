package gateway

import (
	"time"

	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/port"
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
	// fullRetryAfter that of one for which none has.
	elsewhereRetryAfter = 50 * time.Millisecond
	fullRetryAfter      = time.Second
)

// linkRetryAfter returns the time after which a request may be sent again that the link had no room for.
func (g *Gateway) linkRetryAfter() time.Duration {
	if g.Link.TurnsAway() {
		return elsewhereRetryAfter
	}
	return fullRetryAfter
}

// checkLink refuses a stream for which the link has no room.
func (g *Gateway) checkLink(x *directory.Route) *fault.Error {
	if x.Kind != directory.Stream || g.Link.AcceptsStream() {
		return nil
	}
	return fault.New(fault.BandwidthShort, "the network link of this entry VM has no room for another stream").WithRetryAfter(g.linkRetryAfter())
}

// delayedByLink reports whether an attempt ran into a timeout while the link of this entry VM is overloaded,
// which tells nothing of the server. A refused or broken connection tells of it in any case.
func (g *Gateway) delayedByLink(err error) bool {
	return err != nil && port.TimedOut(err) && g.Link.Overloaded()
}

// ClosesConnections reports whether callers should use other entry VMs, so that their connections are
// closed after the current answer.
func (g *Gateway) ClosesConnections() bool {
	return g.Stopping() || g.Link.TurnsAway()
}
