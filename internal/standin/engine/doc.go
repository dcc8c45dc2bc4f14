// Package engine is a stand-in for a model engine. It serves the batch model over
// HTTP with resume, cancel, delayed load reports, cache events and fenced orders.
package engine
