// Package replica keeps a replica of one kind of the platform's objects. It follows the
// platform's order of versions and never returns to an earlier one.
package replica
