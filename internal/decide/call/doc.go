// Package call decides what follows each attempt of a plain service's call.
package call
