// Package node assembles the process of one entry VM and runs it from its start to its
// planned stop.
package node
