// Package wire exchanges typed JSON messages over HTTP, and turns failures into typed
// faults.
package wire
