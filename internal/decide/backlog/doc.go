// Package backlog decides which requests wait for a server of a service, which
// are refused at once, in which order they are let in, and when those that were
// refused are told to come back. The hosted gateway calls it for each service.
package backlog
