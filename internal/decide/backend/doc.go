// Package backend chooses the backend server for a call of a plain service.
package backend
