// Package port holds the types between the product and the adapters that
// speak a wire: one request, one answer, and what an adapter has to offer.
package port
