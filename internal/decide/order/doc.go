// Package order decides which orders the engines get, so that they take the roles and
// load the models and adapters that operators declare. Orders carry a fence.
package order
