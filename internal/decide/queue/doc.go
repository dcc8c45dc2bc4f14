// Package queue orders the requests that wait for an engine by rank and, within a
// rank, by fair shares of workspaces.
package queue
