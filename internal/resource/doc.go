// Package resource reads resources from operators' files and applies them to the
// platform.
package resource
