// Package status decides which state is reported of a backend server.
package status
