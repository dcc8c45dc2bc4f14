// Package engine stands in for a model engine: it serves the batch model over
// HTTP with resume, cancel, late reports, cache events and fenced orders.
package engine
