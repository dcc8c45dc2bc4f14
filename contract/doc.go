// Package contract tests each interface of the system with a table of fault cases, in which the
// project's own clients and entry VMs run against stand-ins.
package contract
