// Package api holds the messages, resources and settings generated from the
// schema, with a few helpers on their named types.
package api
