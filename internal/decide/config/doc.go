// Package config keeps the configuration in force: it follows the platform's
// order of versions and never goes back.
package config
