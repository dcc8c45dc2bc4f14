// Package style tests rules of the house style that no linter checks.
package style
