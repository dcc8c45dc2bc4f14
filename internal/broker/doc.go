// Package broker makes the dispatcher safe for concurrent use, and delivers its decisions
// to the requests that wait for them.
package broker
