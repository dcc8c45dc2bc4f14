package connect

import "slices"

// RequestHash is the hash of a request's ID.
type RequestHash uint64

// maxCarried is how many requests a connection carries before it is closed, which bounds what is remembered of it.
const maxCarried = 1024

// Carried holds the requests that a connection has carried. An answer is recognized by the ID of its request, so a
// late copy of an answer can't be told from the answer to a later request with the same ID. The zero value is a
// connection that has carried none. It is not safe for concurrent use.
type Carried struct {
	hashes []RequestHash
}

// Record records that the connection carries a request.
func (c *Carried) Record(h RequestHash) {
	c.hashes = append(c.hashes, h)
}

// MayCarry reports whether the next answer on the connection can be recognized as that to a request.
func (c *Carried) MayCarry(h RequestHash) bool {
	return !slices.Contains(c.hashes, h)
}

// Exhausted reports whether the connection has carried as many requests as it may.
func (c *Carried) Exhausted() bool {
	return len(c.hashes) >= maxCarried
}
