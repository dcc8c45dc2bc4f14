// Package throttle keeps what backend servers themselves say of how much they take: limits
// that hold over all entry VMs, and who may send under them when.
package throttle
