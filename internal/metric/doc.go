// Package metric counts what an entry VM does, as expvar variables.
package metric
