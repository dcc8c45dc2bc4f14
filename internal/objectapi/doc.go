// Package objectapi is the client of the platform's object API.
package objectapi
