// Package claim decides whether a request that is not repeatable may be sent.
package claim
