package holder

import "time"

// failureTTL is how long an entry VM that did not answer is left out. Each placement request
// without an answer delays its caller by up to 200 ms, and peers learn within two seconds
// that a VM is gone.
const failureTTL = time.Second

// Reachability tracks which entry VMs did not answer, by address.
type Reachability struct {
	retryAt map[string]time.Time
}

// NewReachability returns an empty record.
func NewReachability() *Reachability {
	return &Reachability{retryAt: map[string]time.Time{}}
}

// RecordFailure records that the entry VM at an address did not answer.
func (r *Reachability) RecordFailure(now time.Time, address string) {
	r.retryAt[address] = now.Add(failureTTL)
}

// Usable returns the addresses that have not failed within failureTTL, in the order given.
func (r *Reachability) Usable(now time.Time, l []string) []string {
	var u []string
	for _, a := range l {
		t, ok := r.retryAt[a]
		if ok && now.Before(t) {
			continue
		}
		delete(r.retryAt, a)
		u = append(u, a)
	}
	return u
}
