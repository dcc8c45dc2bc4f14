// Package member decides which entry VMs are alive, from heartbeats and from
// the platform's list, which lags.
package member
