// Package claims lets a request that is not repeatable be sent at most once,
// by a record in the platform that is made before the send.
package claims
