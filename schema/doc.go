// Package schema holds the JSON Schema sources of all messages, resources and
// settings, and checks documents against them.
package schema
