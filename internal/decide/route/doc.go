// Package route chooses an engine for a request.
package route
