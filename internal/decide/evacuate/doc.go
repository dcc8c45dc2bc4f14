// Package evacuate decides the steps that take a running generation off a
// server that is about to end: copy while it runs, stop, copy the rest, go on
// elsewhere.
package evacuate
