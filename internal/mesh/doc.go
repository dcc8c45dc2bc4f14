// Package mesh exchanges state between entry VMs: who there is, what each has
// in flight, and configuration and servers for those that the platform does
// not answer.
package mesh
