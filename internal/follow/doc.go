// Package follow brings the platform's configuration into force, from its
// watch and, when that is late, from peers.
package follow
