// Package node puts one entry VM's process together and runs it from start to
// planned stop.
package node
