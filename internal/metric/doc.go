// Package metric holds the counters, gauges and histograms of an entry VM and
// exposes them as expvar variables.
package metric
