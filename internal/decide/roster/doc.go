// Package roster decides which backend servers may get work: it follows the
// platform's entries of servers through leaves, lapses and outages.
package roster
