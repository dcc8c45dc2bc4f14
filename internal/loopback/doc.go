// Package loopback finds addresses for processes that are started on this
// machine and have to find them free again when they restart.
package loopback
