package backlog

import "time"

// intervalWeight is the weight of the newest time between two requests that were
// let in: some five of them decide, about a second of an overload.
const intervalWeight = 0.2

// admissionInterval learns how often a request is let in while others wait.
type admissionInterval struct {
	mean time.Duration
	last time.Time
}

// start notes that requests start to wait.
func (p *admissionInterval) start(now time.Time) {
	p.last = now
}

// observe takes a request that was let in.
func (p *admissionInterval) observe(now time.Time) {
	d := now.Sub(p.last)
	p.last = now
	if p.mean == 0 {
		p.mean = d
		return
	}
	p.mean += time.Duration(intervalWeight * float64(d-p.mean))
}

// expected is the expected time between two requests that are let in. While
// requests wait and none is let in, it grows.
func (p *admissionInterval) expected(now time.Time, waiting bool) time.Duration {
	if !waiting {
		return p.mean
	}
	return max(p.mean, now.Sub(p.last))
}
