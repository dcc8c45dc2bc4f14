package backlog

import "github.com/wardridge/wardridge/internal/decide/queue"

const (
	// lateRankOffset is added to the rank of late requests: those that can be in time go
	// first.
	lateRankOffset = queue.Ranks / 2
	// routeRanks is the number of priorities of routes that are told apart within
	// one of workspaces; what is beyond counts as the last.
	routeRanks = 4
	// workspaceRanks is the number of priorities of workspaces that are told apart.
	workspaceRanks = lateRankOffset / routeRanks
)

// Rank orders requests by the priority of their workspace first, then by that of
// their route; 0 goes first in both.
func Rank(workspace, route int) int {
	return clamp(workspace, workspaceRanks)*routeRanks + clamp(route, routeRanks)
}

// clamp gives the nearest of n ranks.
func clamp(rank, n int) int {
	return min(max(rank, 0), n-1)
}

// rank is the place among all requests, the late ones among them.
func (r Request) rank() int {
	n := clamp(r.Rank, lateRankOffset)
	if r.Late {
		n += lateRankOffset
	}
	return n
}
