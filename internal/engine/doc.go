// Package engine is the HTTP client of model engines.
package engine
