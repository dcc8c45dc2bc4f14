// Package loopback finds free addresses for processes that are started on this
// machine and need the same address to be free again when they restart.
package loopback
