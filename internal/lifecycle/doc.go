// Package lifecycle tracks the state of an entry VM from its start to its planned stop,
// and admits requests by it.
package lifecycle
