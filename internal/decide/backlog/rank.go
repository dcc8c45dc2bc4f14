package backlog

import "github.com/wardridge/wardridge/internal/decide/queue"

const (
	// lateRankOffset is added to the rank of late requests, so that requests which can
	// meet their targets are admitted first.
	lateRankOffset = queue.Ranks / 2
	// routeRanks is the number of distinct route priorities within one workspace
	// priority; a higher one counts as the last.
	routeRanks = 4
	// workspaceRanks is the number of distinct workspace priorities; a higher one
	// counts as the last.
	workspaceRanks = lateRankOffset / routeRanks
)

// Rank returns the rank of a request: requests are ordered by the priority of their
// workspace, then by that of their route, with priority 0 first in both.
func Rank(workspace, route int) int {
	return clamp(workspace, workspaceRanks)*routeRanks + clamp(route, routeRanks)
}

// clamp limits a rank to the range from 0 to n-1.
func clamp(rank, n int) int {
	return min(max(rank, 0), n-1)
}

// rank returns the rank among all requests, which places late ones last.
func (r Request) rank() int {
	n := clamp(r.Rank, lateRankOffset)
	if r.Late {
		n += lateRankOffset
	}
	return n
}
