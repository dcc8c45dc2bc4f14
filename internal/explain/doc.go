// Package explain records the decisions taken for each request, in bounded
// memory.
package explain
