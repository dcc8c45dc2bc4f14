// Package control is the interface for peers, operators and metrics.
package control
