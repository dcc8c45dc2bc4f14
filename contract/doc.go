// Package contract tests each interface by one table of fault cases, run by
// our own clients and entry VMs against the stand-ins.
package contract
