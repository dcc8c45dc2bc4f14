// Package api holds the types of messages, resources and settings that are generated
// from the schema, with helper functions for them.
package api
