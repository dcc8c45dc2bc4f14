// Package replica keeps a copy of one kind of the platform's objects in the
// platform's order of versions and never goes back in it.
package replica
