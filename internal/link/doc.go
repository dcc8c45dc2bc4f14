// Package link observes the traffic of a process over the network link of its VM.
package link
