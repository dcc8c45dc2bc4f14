// Package heartbeat keeps up with the other entry VMs.
package heartbeat
