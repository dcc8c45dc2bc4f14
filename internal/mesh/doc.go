// Package mesh exchanges state between entry VMs: the members of the fleet, the
// requests that each has in flight, and the configuration and servers for those
// entry VMs that the platform does not answer.
package mesh
