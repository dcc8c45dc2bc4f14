// Package e2e runs the real programs as separate processes and checks what their callers
// get. It asserts outcomes, never times.
package e2e
