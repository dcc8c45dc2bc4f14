package holder

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
)

// DomainObservations is what this entry VM observed at the engines of one failure domain.
type DomainObservations struct {
	// Prefill is the time that engines took to read prompts, by service.
	Prefill map[api.ServiceName]api.ReadTime
	// Outcomes counts how requests ended, by engine.
	Outcomes map[api.ServerName]api.Outcomes
}

// Observations collects observations of engines until the next report to their allocator,
// which needs those of all entry VMs because it chooses engines for all of them.
type Observations struct {
	domains map[api.DomainName]DomainObservations
}

// NewObservations returns an empty record.
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

// RecordPrefill adds the time until the first event of a request at an engine of a service,
// and the number of prompt tokens that the engine had to read until then.
func (o *Observations) RecordPrefill(d api.DomainName, s api.ServiceName, n api.Tokens, took time.Duration) {
	r := o.domain(d).Prefill
	x := r[s]
	x.Tokens += n
	x.MS += int(took.Milliseconds())
	r[s] = x
}

// RecordOutcome adds the outcome of a request at an engine.
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

// Take returns and removes the observations in a domain. If the report that carries them is
// lost, so are they: they come from a single entry VM and are soon out of date.
func (o *Observations) Take(d api.DomainName) DomainObservations {
	x := o.domains[d]
	delete(o.domains, d)
	return x
}
