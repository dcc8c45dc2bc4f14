// Package gossip decides which entry VMs there are and whom to exchange state
// with: addresses come from the settings and from peers, and only peers that
// answer are passed on.
package gossip
