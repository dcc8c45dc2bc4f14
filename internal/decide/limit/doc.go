// Package limit holds a workspace to its rate and its requests at once, as
// this entry VM's share of a limit that counts over all of them.
package limit
