// Package drain decides which requests an entry VM that is stopping still
// takes: only those that will be over before it ends.
package drain
