// Package loganalysis reads the logs of entry VMs. It shows the timeline of one request
// with the state that its VM knew at the time, and summarizes how requests ended.
package loganalysis
