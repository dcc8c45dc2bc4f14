// Package sequence keeps the events of a stream complete and in order when another server
// resumes the stream.
package sequence
