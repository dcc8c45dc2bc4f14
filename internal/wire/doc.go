// Package wire carries typed JSON messages over HTTP and types what went wrong.
package wire
