// Package settings reads the INI file of an entry VM and validates it against the schema.
package settings
