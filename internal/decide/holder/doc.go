// Package holder decides what an entry VM that holds places at engines tells the
// entry VMs that allocate them, when, and whom it asks. The hosted gateway calls it.
package holder
