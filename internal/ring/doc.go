// Package ring provides bounded queues between goroutines.
package ring
