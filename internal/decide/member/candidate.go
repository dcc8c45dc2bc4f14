package member

import (
	"github.com/cespare/xxhash/v2"

	"github.com/wardridge/wardridge/internal/api"
)

// maxCandidates is how many entry VMs compete for the lease of a duty.
const maxCandidates = 3

// IsCandidate reports whether this entry VM is among the few that may hold a duty, by rendezvous
// hashing over the entry VMs that serve. Entry VMs may differ in which peers they count as
// serving; the lease of the duty still admits a single holder.
func (m *Members) IsCandidate(duty string) bool {
	selfWeight := weight(m.self, duty)
	above := 0
	for _, p := range m.peers {
		if p.alive && p.heartbeat.State == api.PeerStateServing && weight(p.VM, duty) > selfWeight {
			above++
		}
	}
	return above < maxCandidates
}

func weight(n api.VMName, duty string) uint64 {
	return xxhash.Sum64String(duty + "/" + string(n))
}
