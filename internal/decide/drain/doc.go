// Package drain decides which requests an entry VM still admits during a planned stop: only
// those that finish before the process ends.
package drain
