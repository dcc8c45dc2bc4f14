// Package placement chooses the backend server of a request from the load that this entry
// VM and its peers have placed there and from the outcomes of earlier requests.
package placement
