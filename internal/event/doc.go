// Package event numbers what the processes log.
package event
