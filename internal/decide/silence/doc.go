// Package silence decides what to do with a stream that no longer receives events from its
// server: wait, resume from a backup copy of the run, or stop the run and fetch its state.
package silence
