// Package duty runs a process's goroutines in one group.
package duty
