// Package holder decides what an entry VM that holds places at engines reports to the entry
// VMs that allocate these engines, when it reports, and which allocators it can use. The
// hosted gateway calls it.
package holder
