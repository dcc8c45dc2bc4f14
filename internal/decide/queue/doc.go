// Package queue orders requests that wait for an engine, by priority and by
// fair shares of workspaces.
package queue
