// Package fleet tests how several entry VMs work together. Each runs its whole process
// in virtual time, over an in-memory network whose links can be cut.
package fleet
