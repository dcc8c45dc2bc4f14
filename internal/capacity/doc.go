// Package capacity measures the slopes that docs/CAPACITY.md works with, on
// the code that runs in production.
package capacity
