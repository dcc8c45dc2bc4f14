// Package upstream sends HTTP requests to backend servers over pooled connections. It
// never sends a request twice, and its faults tell whether any byte of the request was
// sent.
package upstream
