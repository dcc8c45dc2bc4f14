// Package status derives the status to publish for a backend server.
package status
