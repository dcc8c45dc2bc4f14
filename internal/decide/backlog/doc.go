// Package backlog decides which requests wait for a server of a service, which
// are refused at once, in which order the waiting ones are admitted, and when the
// callers of refused ones should retry. The hosted gateway uses one for each service.
package backlog
