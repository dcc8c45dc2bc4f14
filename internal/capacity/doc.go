// Package capacity benchmarks, on production code, how cost grows with the size of the
// system. docs/CAPACITY.md computes with these slopes.
package capacity
