package holder

import "time"

// failureTTL is how long an entry VM that did not answer an ask is passed over:
// an ask in vain costs a request up to a fifth of a second, and peers know within
// two seconds that a VM is gone.
const failureTTL = time.Second

// Reachability remembers which entry VMs did not answer.
type Reachability struct {
	retryAt map[string]time.Time
}

// NewReachability makes a record of no failures.
func NewReachability() *Reachability {
	return &Reachability{retryAt: map[string]time.Time{}}
}

// RecordFailure notes that the VM at an address did not answer.
func (c *Reachability) RecordFailure(now time.Time, address string) {
	c.retryAt[address] = now.Add(failureTTL)
}

// Usable lists those of some addresses that did not lately fail.
func (c *Reachability) Usable(now time.Time, l []string) []string {
	var u []string
	for _, a := range l {
		t, ok := c.retryAt[a]
		if ok && now.Before(t) {
			continue
		}
		delete(c.retryAt, a)
		u = append(u, a)
	}
	return u
}
