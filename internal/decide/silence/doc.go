// Package silence decides what becomes of a stream whose server says nothing:
// wait, go on from a copy of the run, or stop the run and fetch it.
package silence
