// Package upstream sends HTTP requests to backend servers over connections
// that it keeps, never sends one twice, and knows whether a byte has left.
package upstream
