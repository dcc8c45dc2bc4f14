// Package lease decides when this entry VM may act on a duty that one actor
// does at a time.
package lease
