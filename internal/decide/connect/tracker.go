package connect

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// doubtDelay is how long a direct connection is waited for, at most, while the last one has
	// failed. Connections within a region take a few ms.
	doubtDelay = 20 * time.Millisecond
	// maxWaitShare is the part of the time left for a connection that a direct one is waited for, so
	// that one through a peer can be made in the rest.
	maxWaitShare = 1.0 / 3
	// doubtTime is how long after a failure the path to a server is in doubt.
	doubtTime = 5 * time.Second
	// minFailed is the number of servers of a service to which direct connections have to fail, with
	// none made in between, before the service counts as unreached.
	minFailed = 5
	// probeInterval is the time between direct connections to a server that only peers reach, and
	// anyProbeInterval the time between those to any of them.
	probeInterval    = time.Second
	anyProbeInterval = 200 * time.Millisecond
	// retention is how long the path to a server or a peer's refusal is remembered.
	retention = time.Minute
)

// Server is a backend server to which connections are made.
type Server struct {
	Address string
	// Service is empty for a server that is not known.
	Service api.ServiceName
	// Peers is the number of other servers of the service that accept requests.
	Peers int
}

// Plan is how to connect to a server.
type Plan struct {
	// Relay is set if the connection is made through a peer at once.
	Relay bool
	// Direct is set if a direct connection is tried, as the connection itself or, with Relay, as a
	// probe of the path.
	Direct bool
	// RelayAfter is how long a direct connection is waited for before one through a peer is tried.
	RelayAfter time.Duration
}

// path is what is known of the direct path to one server.
type path struct {
	// failedAt is when the last direct connection failed, zero if it did not.
	failedAt time.Time
	// blocked is set if a peer has connected to the server after that.
	blocked  bool
	probedAt time.Time
}

// reach is what is known of the direct paths to the servers of one service.
type reach struct {
	// reachedAt is when a direct connection to one of them was last made, and failed the servers whose
	// direct connections have failed since.
	reachedAt time.Time
	failed    map[string]bool
	unreached bool
	// checkedAt is when servers were last checked, and suspectedAt when a request last got no answer.
	checkedAt, suspectedAt time.Time
}

// Tracker tracks the paths from this entry VM and its peers to the backend servers. Whether a service is
// reached is decided by all of its servers: what fails for one entry VM alone says nothing of a server.
type Tracker struct {
	relayAfter time.Duration
	paths      map[string]*path
	services   map[api.ServiceName]*reach
	probedAt   time.Time
	// alertAt is when an entry VM was last cut off from a service, or reached it again, as far as is known
	// here.
	alertAt time.Time
	*Reports
}

// New creates a tracker without failures that draws random numbers from s. Where nothing is known of a
// path, a direct connection is waited for relayAfter before one through a peer is made as well.
func New(relayAfter time.Duration, s rand.Source) *Tracker {
	return &Tracker{relayAfter: relayAfter, paths: map[string]*path{}, services: map[api.ServiceName]*reach{}, Reports: newReports(rand.New(s))}
}

// Unreached reports whether this entry VM reaches no server of a service itself.
func (t *Tracker) Unreached(s api.ServiceName) bool {
	r, ok := t.services[s]
	return ok && r.unreached
}

// CutOff reports whether this entry VM reaches no server of a service while peers do.
func (t *Tracker) CutOff(now time.Time, s api.ServiceName) bool {
	return t.Unreached(s) && t.PeerReaches(now, s)
}

// Partitioned reports whether this entry VM reaches none of the services to which it lately connected.
func (t *Tracker) Partitioned() bool {
	for _, r := range t.services {
		if !r.unreached {
			return false
		}
	}
	return len(t.services) > 0
}

// ReachedSince reports whether a direct connection to a server of a service was made since a time.
func (t *Tracker) ReachedSince(s api.ServiceName, since time.Time) bool {
	r, ok := t.services[s]
	return ok && !r.reachedAt.IsZero() && !r.reachedAt.Before(since)
}

// Plan returns how to connect to a server now, within the time that is left for the connection.
func (t *Tracker) Plan(now time.Time, s Server, left time.Duration) Plan {
	after := min(t.relayAfter, time.Duration(maxWaitShare*float64(left)))
	p, known := t.paths[s.Address]
	r := t.services[s.Service]
	switch {
	case t.Unreached(s.Service):
		return Plan{Relay: true, Direct: !t.PeerReaches(now, s.Service)}
	case known && p.blocked:
		return Plan{Relay: true, Direct: t.probe(now, p)}
	case r != nil && len(r.failed) > 0 || known && now.Sub(p.failedAt) < doubtTime:
		return Plan{Direct: true, RelayAfter: min(doubtDelay, after)}
	default:
		return Plan{Direct: true, RelayAfter: after}
	}
}

// probe reports whether the direct path to a server that is reached through peers is tried now, and
// counts the try if so.
func (t *Tracker) probe(now time.Time, p *path) bool {
	if now.Sub(p.probedAt) < probeInterval || now.Sub(t.probedAt) < anyProbeInterval {
		return false
	}
	p.probedAt, t.probedAt = now, now
	return true
}

// RecordDirect records the outcome of a direct connection to a server. It reports whether the service is
// unreached since then, or no longer is.
func (t *Tracker) RecordDirect(now time.Time, s Server, connected bool) (changed bool) {
	if connected {
		delete(t.paths, s.Address)
	} else {
		t.path(s.Address).failedAt = now
	}
	if s.Service == "" {
		return false
	}
	r := t.service(s.Service)
	before := r.unreached
	if connected {
		clear(r.failed)
		r.reachedAt, r.unreached = now, false
		if before {
			// Peers that are still cut off have to learn it.
			t.alertAt = now
		}
		return before
	}
	r.failed[s.Address] = true
	if len(r.failed) >= min(minFailed, 1+s.Peers) {
		r.unreached = true
		t.alertAt = now
	}
	return r.unreached != before
}

// RecordRelayed records that a peer has connected to a server.
func (t *Tracker) RecordRelayed(now time.Time, peer string, s Server) {
	t.RecordPeer(now, s.Service, peer, now)
	if p, ok := t.paths[s.Address]; ok && !p.failedAt.IsZero() {
		p.blocked = true
	}
}

// Expire drops what is known of paths that were not tried lately.
func (t *Tracker) Expire(now time.Time) {
	maps.DeleteFunc(t.paths, func(_ string, p *path) bool {
		return now.Sub(p.failedAt) > retention && now.Sub(p.probedAt) > retention
	})
	for _, r := range t.services {
		maps.DeleteFunc(r.failed, func(a string, _ bool) bool { return t.paths[a] == nil })
		r.unreached = r.unreached && len(r.failed) > 0
	}
	maps.DeleteFunc(t.services, func(_ api.ServiceName, r *reach) bool {
		return len(r.failed) == 0 && now.Sub(r.reachedAt) > retention && now.Sub(r.checkedAt) > retention
	})
	t.expireReports(now)
}

func (t *Tracker) path(address string) *path {
	p, ok := t.paths[address]
	if !ok {
		p = &path{}
		t.paths[address] = p
	}
	return p
}

func (t *Tracker) service(s api.ServiceName) *reach {
	r, ok := t.services[s]
	if !ok {
		r = &reach{failed: map[string]bool{}}
		t.services[s] = r
	}
	return r
}
