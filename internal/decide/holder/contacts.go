package holder

import "time"

// contactTime is how long an entry VM that did not answer an ask is passed over:
// an ask in vain costs a request up to a fifth of a second, and peers know within
// two seconds that a VM is gone.
const contactTime = time.Second

// Contacts remembers which entry VMs did not answer.
type Contacts struct {
	until map[string]time.Time
}

// NewContacts makes a record of no failures.
func NewContacts() *Contacts {
	return &Contacts{until: map[string]time.Time{}}
}

// Failed notes that the VM at an address did not answer.
func (c *Contacts) Failed(now time.Time, address string) {
	c.until[address] = now.Add(contactTime)
}

// Usable lists those of some addresses that did not lately fail.
func (c *Contacts) Usable(now time.Time, l []string) []string {
	var u []string
	for _, a := range l {
		t, ok := c.until[a]
		if ok && now.Before(t) {
			continue
		}
		delete(c.until, a)
		u = append(u, a)
	}
	return u
}
