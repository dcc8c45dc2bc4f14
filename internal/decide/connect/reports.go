package connect

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// freshTime is how long after its last direct connection a peer is taken to reach a service. While a
	// partition is suspected it makes one each second, which is reported within another second or so.
	freshTime = 2500 * time.Millisecond
	// refusalTime is how long a peer that failed to connect to a server comes after the others.
	refusalTime = 3 * time.Second
	// maxReports bounds the peers that are remembered for each service, and maxListed those in one
	// message.
	maxReports = 256
	maxListed  = 6
	// maxReportAge is the age of the oldest report that is accepted.
	maxReportAge = 10 * time.Second
)

// Reports holds when peers have last connected to the servers of each service themselves.
type Reports struct {
	random  *rand.Rand
	reached map[api.ServiceName]map[string]time.Time
	// refusedAt is when a peer last failed to connect to a server, by its address.
	refusedAt map[string]time.Time
}

func newReports(r *rand.Rand) *Reports {
	return &Reports{random: r, reached: map[api.ServiceName]map[string]time.Time{}, refusedAt: map[string]time.Time{}}
}

// RecordPeer records that a peer has connected to a server of a service at a time.
func (r *Reports) RecordPeer(now time.Time, s api.ServiceName, peer string, at time.Time) {
	if now.Sub(at) > maxReportAge {
		return
	}
	if at.After(now) {
		at = now
	}
	m, ok := r.reached[s]
	if !ok {
		m = map[string]time.Time{}
		r.reached[s] = m
	}
	before, ok := m[peer]
	if at.After(before) && (ok || len(m) < maxReports) {
		m[peer] = at
	}
}

// RecordRefused records that a peer did not connect to a server.
func (r *Reports) RecordRefused(now time.Time, peer string) {
	r.refusedAt[peer] = now
}

// PeerReaches reports whether a peer reaches a service.
func (r *Reports) PeerReaches(now time.Time, s api.ServiceName) bool {
	for p, at := range r.reached[s] {
		if r.fresh(now, p, at) {
			return true
		}
	}
	return false
}

// fresh reports whether a peer is taken to reach a service, with its last connection there.
func (r *Reports) fresh(now time.Time, peer string, at time.Time) bool {
	return now.Sub(at) < freshTime && !r.refusedAt[peer].After(at)
}

// OrderPeers returns the peers to ask for a connection to a server of a service: those that reach it in
// random order, then the others. Those that lately failed to connect to a server come last.
func (r *Reports) OrderPeers(now time.Time, s api.ServiceName, peers []string) []string {
	l := r.freshPeers(now, s)
	var bad []string
	for _, a := range peers {
		switch x, ok := r.refusedAt[a]; {
		case slices.Contains(l, a):
		case ok && now.Sub(x) < refusalTime:
			bad = append(bad, a)
		default:
			l = append(l, a)
		}
	}
	return append(l, bad...)
}

// freshPeers lists the peers that reach a service, in random order.
func (r *Reports) freshPeers(now time.Time, s api.ServiceName) []string {
	var l []string
	for p, at := range r.reached[s] {
		if r.fresh(now, p, at) {
			l = append(l, p)
		}
	}
	slices.Sort(l)
	r.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l
}

// ListPeers returns some of the peers that reach a service, without the receiver, for a message.
func (r *Reports) ListPeers(now time.Time, s api.ServiceName, receiver string) []api.PathReport {
	var l []api.PathReport
	for _, p := range r.freshPeers(now, s) {
		if p != receiver && len(l) < maxListed {
			l = append(l, api.PathReport{Address: p, Service: s, AgeMS: api.ToMilliseconds(now.Sub(r.reached[s][p]))})
		}
	}
	return l
}

// PathReports returns the reports for a message to a peer: on this entry VM's own connections, and on
// those of others for services that this entry VM or the receiver is not known to reach.
func (t *Tracker) PathReports(now time.Time, local, receiver string) []api.PathReport {
	var l []api.PathReport
	for _, s := range slices.Sorted(maps.Keys(t.services)) {
		r := t.services[s]
		if !r.unreached && !r.reachedAt.IsZero() && now.Sub(r.reachedAt) < maxReportAge {
			l = append(l, api.PathReport{Address: local, Service: s, AgeMS: api.ToMilliseconds(now.Sub(r.reachedAt))})
		}
		if at, ok := t.reached[s][receiver]; r.unreached || !ok || !t.fresh(now, receiver, at) {
			l = append(l, t.ListPeers(now, s, receiver)...)
		}
	}
	return l
}

// expireReports drops reports and refusals that no longer count.
func (r *Reports) expireReports(now time.Time) {
	for s, m := range r.reached {
		maps.DeleteFunc(m, func(_ string, at time.Time) bool { return now.Sub(at) > maxReportAge })
		if len(m) == 0 {
			delete(r.reached, s)
		}
	}
	maps.DeleteFunc(r.refusedAt, func(_ string, x time.Time) bool { return now.Sub(x) > retention })
}
