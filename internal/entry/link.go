package entry

import (
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
	"github.com/wardridge/wardridge/internal/wire"
)

// Link tells whether the network link of this entry VM has room.
type Link interface {
	// TurnsAway reports whether callers are turned away while other entry VMs have room for them.
	TurnsAway() bool
	// AcceptsStream reports whether another stream is taken.
	AcceptsStream() bool
	// AcceptsCall reports whether another request is taken that is no stream.
	AcceptsCall() bool
	// Overloaded reports whether the link is so full that what it delays tells nothing of the other ends.
	Overloaded() bool
}

// unboundedLink is the Link of an entry VM that bounds no callers.
type unboundedLink struct{}

func (unboundedLink) TurnsAway() bool     { return false }
func (unboundedLink) AcceptsStream() bool { return true }
func (unboundedLink) AcceptsCall() bool   { return true }
func (unboundedLink) Overloaded() bool    { return false }

// errNoBandwidth is the refusal of a request for which the link has no room. Retry-After has whole seconds on
// this interface.
var errNoBandwidth = fault.New(fault.BandwidthShort, "the network link of this entry VM has no room for the request").WithRetryAfter(time.Second)

// limitTo returns a middleware that refuses requests, with their bodies unread, for which the link has no
// room. While other entry VMs have, the connection is closed, so that the caller opens one to them.
func (s *Server) limitTo(accepts func() bool) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.Link.TurnsAway() {
				w.Header().Set("Connection", "close")
			}
			if !accepts() {
				s.Metrics.Add(metric.RequestsRefused, 1)
				wire.Refuse(w, errNoBandwidth, api.RequestID(r.Header.Get(wire.HeaderRequestID)))
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}

// delayedByLink reports whether an attempt ran into a timeout while the link of this entry VM is overloaded,
// which tells nothing of the server.
func (s *Server) delayedByLink(err error) bool {
	return err != nil && port.TimedOut(err) && s.Link.Overloaded()
}
