// Package call decides what follows each failed attempt of a call to a service.
package call
