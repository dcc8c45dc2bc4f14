// Package story finds in the logs of several entry VMs what concerns one
// request, and what the VM that served it believed at that time.
package loganalysis
