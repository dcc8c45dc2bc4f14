// Package engine is the client of model engines.
package engine
