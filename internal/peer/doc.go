// Package peer is the client of the control interface of other entry VMs.
package peer
