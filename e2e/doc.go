// Package e2e runs the real programs as separate processes and checks what
// their callers see; it asserts outcomes and never times.
package e2e
