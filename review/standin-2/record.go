package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the text of what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{file: f, start: time.Now()}
}

// add writes one line with the time since the start.
func (r *record) add(format string, a ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// check ends the process with the status of a case that could not run.
func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
		endAll()
		os.Exit(exitNoRun)
	}
}
