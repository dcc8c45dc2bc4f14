// Package settings reads an entry VM's INI file and checks it against the
// schema.
package settings
