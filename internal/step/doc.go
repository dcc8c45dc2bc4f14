// Package step runs work as an ordered list of small named steps.
package step
