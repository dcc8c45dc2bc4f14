// Package member decides which entry VMs are there, from the platform's late
// list and from heartbeats.
package member
