// Package freshness decides whether this entry VM's view of the configuration may
// be served by after the process did not run for a while.
package freshness
