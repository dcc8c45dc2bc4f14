// Package route provides the policies that choose an engine for a request.
package route
