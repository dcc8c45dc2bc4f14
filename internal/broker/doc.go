// Package broker carries the dispatcher's decisions to the requests that wait
// for them.
package broker
