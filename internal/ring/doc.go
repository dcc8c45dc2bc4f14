// Package ring joins duties by bounded queues.
package ring
