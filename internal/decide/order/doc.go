// Package order decides which fenced orders engines get, so that they have
// loaded what operators declare.
package order
