package member

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wardridge/wardridge/internal/api"
)

// maxCandidates is how many entry VMs read the lease of a duty.
const maxCandidates = 3

// IsCandidate reports whether this entry VM is among the few that may hold a
// duty, by rendezvous hash over those that serve. Views may differ: the lease
// settles it.
func (m *Members) IsCandidate(duty string) bool {
	own := weight(m.self, duty)
	above := 0
	for _, p := range m.peers {
		if p.alive && p.heartbeat.State == api.PeerStateServing && weight(p.VM, duty) > own {
			above++
		}
	}
	return above < maxCandidates
}

func weight(n api.VMName, duty string) uint64 {
	return xxhash.Sum64String(duty + "/" + string(n))
}
