// Package style checks rules of the house style that no linter knows.
package style
