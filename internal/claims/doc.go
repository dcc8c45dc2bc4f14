// Package claims ensures that a request which is not repeatable is sent at most once. It
// records a claim of the request on the platform before the send.
package claims
