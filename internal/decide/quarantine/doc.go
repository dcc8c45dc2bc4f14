// Package quarantine identifies request contents that crash the backend servers which run
// them, from the observations of several entry VMs.
package quarantine
