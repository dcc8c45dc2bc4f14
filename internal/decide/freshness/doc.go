// Package freshness decides whether an entry VM may serve requests by its view of the
// configuration after its process did not run for a while.
package freshness
