// Package sequence holds the events of one stream to their order while the
// stream goes on at one server after the other.
package sequence
