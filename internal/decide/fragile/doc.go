// Package fragile decides how many requests may be sent to servers that fail for a while once they have
// to refuse too many in a second for lack of room. The bound is on the refusals of all entry VMs
// together, which each keeps by its share of a server's room.
package fragile
