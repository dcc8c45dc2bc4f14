// Package placement chooses the backend server of a request from what this
// entry VM and its peers have in flight and from what callers met there.
package placement
