// Package evacuate decides the steps that move a running generation off a server that is about
// to end: copy its memory while it runs, stop it, copy the remainder, and resume it on another
// server.
package evacuate
