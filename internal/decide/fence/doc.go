// Package fence decides when a run may continue at another server after its stream broke off, how often the server
// before is ordered to stop it, and which servers still list runs that they should no longer work on.
package fence
