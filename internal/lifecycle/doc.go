// Package lifecycle follows an entry VM from its start to its planned stop.
package lifecycle
