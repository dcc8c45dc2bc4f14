// Package event writes the log: it defines the numbered events and limits their rate.
package event
