// Package lease decides when this entry VM may carry out a duty that only one
// entry VM may carry out at a time.
package lease
