// Package fleet tests how entry VMs act together: their whole process runs in
// virtual time over a network in memory whose links can be cut.
package fleet
