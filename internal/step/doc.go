// Package step runs an ordered list of named steps and logs each of them.
package step
