// Package duty runs the goroutines of a process as duties: functions that run in one
// group until the first failure or the end of its context.
package duty
