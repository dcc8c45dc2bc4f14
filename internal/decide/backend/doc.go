// Package backend chooses the backend server of a plain service.
package backend
