package holder

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
)

// DomainObservations is what was seen of the engines of one failure domain.
type DomainObservations struct {
	// Prefill is how long they took to read prompts, by service.
	Prefill map[api.ServiceName]api.ReadTime
	// Outcomes is what requests met there, by engine.
	Outcomes map[api.ServerName]api.Outcomes
}

// Observations keeps what was seen of engines until the next report to their
// allocator: who chooses for all has to know what each meets.
type Observations struct {
	domains map[api.DomainName]DomainObservations
}

// NewObservations makes a record of nothing.
func NewObservations() *Observations {
	return &Observations{domains: map[api.DomainName]DomainObservations{}}
}

func (o *Observations) domain(d api.DomainName) DomainObservations {
	x, ok := o.domains[d]
	if !ok {
		x = DomainObservations{Prefill: map[api.ServiceName]api.ReadTime{}, Outcomes: map[api.ServerName]api.Outcomes{}}
		o.domains[d] = x
	}
	return x
}

// RecordPrefill notes how long an engine of a service took until the first event of a
// request, with so many tokens to read.
func (o *Observations) RecordPrefill(d api.DomainName, s api.ServiceName, n api.Tokens, took time.Duration) {
	r := o.domain(d).Prefill
	x := r[s]
	x.Tokens += n
	x.MS += int(took.Milliseconds())
	r[s] = x
}

// RecordOutcome notes what a request met at an engine.
func (o *Observations) RecordOutcome(d api.DomainName, n api.ServerName, outcome placement.Outcome) {
	m := o.domain(d).Outcomes
	x := m[n]
	switch outcome {
	case placement.Served:
		x.Served++
	case placement.Full:
		x.Full++
	case placement.Failed:
		x.Failed++
	case placement.Lost:
		x.Lost++
	}
	m[n] = x
}

// Take gives what was seen in a domain since the last time. Where the report that
// carries it is lost, so is this: it is of one entry VM, and soon of the past.
func (o *Observations) Take(d api.DomainName) DomainObservations {
	x := o.domains[d]
	delete(o.domains, d)
	return x
}
