// Package heartbeat tracks the other entry VMs by exchanging heartbeats with them.
package heartbeat
