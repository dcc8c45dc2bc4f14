// Package claim decides whether a request that is not repeatable may be sent. A claim is an
// object of the platform that names the one attempt at a request that may reach a server.
package claim
