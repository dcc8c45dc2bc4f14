package backlog

import "time"

// paceWeight is the weight of the newest time between two requests that were
// let in: some five of them decide, about a second of an overload.
const paceWeight = 0.2

// pace learns how often a request is let in while others wait.
type pace struct {
	mean time.Duration
	last time.Time
}

// begin notes that requests begin to wait.
func (p *pace) begin(now time.Time) {
	p.last = now
}

// note takes a request that was let in.
func (p *pace) note(now time.Time) {
	d := now.Sub(p.last)
	p.last = now
	if p.mean == 0 {
		p.mean = d
		return
	}
	p.mean += time.Duration(paceWeight * float64(d-p.mean))
}

// interval is the expected time between two requests that are let in. While
// requests wait and none is let in, it grows.
func (p *pace) interval(now time.Time, waiting bool) time.Duration {
	if !waiting {
		return p.mean
	}
	return max(p.mean, now.Sub(p.last))
}
