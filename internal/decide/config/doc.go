// Package config holds the configuration in force. It follows the platform's order of versions
// and never returns to an earlier one.
package config
