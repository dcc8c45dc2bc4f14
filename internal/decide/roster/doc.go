// Package roster decides which backend servers may get requests. It follows their
// entries in the platform's store through leaves, outages and restores of the store.
package roster
