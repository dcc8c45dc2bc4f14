// Package schema holds the JSON Schema files of all messages, resources and settings, and
// validates documents against them.
package schema
