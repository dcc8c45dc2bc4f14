// Package resource reads resources from operators' files and applies them.
package resource
