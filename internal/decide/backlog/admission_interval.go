package backlog

import "time"

// intervalWeight is the weight of the latest interval between two admissions: the
// mean covers about five of them, which is about a second of an overload.
const intervalWeight = 0.2

// admissionInterval is a moving average of the time between two admissions while
// requests wait.
type admissionInterval struct {
	mean time.Duration
	last time.Time
}

// start records that the first request begins to wait.
func (p *admissionInterval) start(now time.Time) {
	p.last = now
}

// observe records an admission.
func (p *admissionInterval) observe(now time.Time) {
	d := now.Sub(p.last)
	p.last = now
	if p.mean == 0 {
		p.mean = d
		return
	}
	p.mean += time.Duration(intervalWeight * float64(d-p.mean))
}

// expected returns the expected time between two admissions. It grows while
// requests wait and none is admitted.
func (p *admissionInterval) expected(now time.Time, waiting bool) time.Duration {
	if !waiting {
		return p.mean
	}
	return max(p.mean, now.Sub(p.last))
}
