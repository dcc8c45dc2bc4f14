// Package entry serves callers: chat completions, the resumption of their streams, and
// calls to plain services.
package entry
