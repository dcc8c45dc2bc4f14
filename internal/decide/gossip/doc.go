// Package gossip tracks the entry VMs of a fleet and decides which of them to
// exchange state with. Addresses come from the settings and from peers; only peers
// that answer are passed on.
package gossip
