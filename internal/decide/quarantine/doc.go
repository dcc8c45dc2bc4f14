// Package quarantine finds requests whose content ends the backend servers that run
// it, by what several entry VMs saw of them.
package quarantine
