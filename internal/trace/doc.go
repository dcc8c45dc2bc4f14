// Package trace sets up the recording and export of spans.
package trace
