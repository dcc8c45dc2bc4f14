// Package peer is the client of other entry VMs' control interface.
package peer
