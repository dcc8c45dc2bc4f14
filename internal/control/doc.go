// Package control serves the HTTP interface for peers, operators and metrics.
package control
