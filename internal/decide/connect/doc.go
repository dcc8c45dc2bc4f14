// Package connect decides how an entry VM connects to backend servers: directly, or through a peer
// that relays the connection while a network partition keeps this entry VM from servers that peers reach.
// It also decides which requests may share a connection, when paths are checked without requests, and what entry
// VMs tell each other of them.
package connect
