package soak

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
)

// process is one life of an entry VM's program.
type process struct {
	command *exec.Cmd
	done    chan struct{}

	mutex sync.Mutex
	// endRequested is set once the soak has ended it.
	endRequested bool
}

// startProcess starts a program, whose output goes to the end of a file.
func startProcess(g *duty.Group, program, settings, log string) (*process, error) {
	f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fault.Wrap(fault.UnreadableFile, err, "opening a log")
	}
	// The soak ends it by signals of its own, never by a context.
	c := exec.CommandContext(context.Background(), program, settings)
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		_ = f.Close()
		return nil, fault.Wrap(fault.UnreadableFile, err, "starting "+program)
	}
	p := &process{command: c, done: make(chan struct{})}
	g.Go(func(context.Context) error {
		defer close(p.done)
		// How it ended is told by whether the soak asked for it.
		_ = c.Wait()
		return f.Close()
	})
	return p, nil
}

// signal sends a signal to this very process.
func (p *process) signal(s syscall.Signal) {
	// A process that is gone needs none.
	_ = p.command.Process.Signal(s)
}

// markEnding marks that the soak ends the process.
func (p *process) markEnding() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.endRequested = true
}

// endedUnexpectedly reports whether the process has ended by itself.
func (p *process) endedUnexpectedly() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	select {
	case <-p.done:
		return !p.endRequested
	default:
		return false
	}
}

// kill ends the process at once, also one that is paused.
func (p *process) kill() {
	p.markEnding()
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop asks for a planned stop and kills the process after the grace.
func (p *process) stop(grace time.Duration) {
	p.markEnding()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(grace):
		p.kill()
	}
}

// failureMarks are what a program writes when it is broken in itself.
var failureMarks = [][]byte{[]byte("WARNING: DATA RACE"), []byte("panic: "), []byte("fatal error: ")}

// hasFailureMark reports whether a log holds such a mark.
func hasFailureMark(log string) (bool, error) {
	b, err := os.ReadFile(log)
	if err != nil {
		return false, fault.Wrap(fault.UnreadableFile, err, "reading a log")
	}
	return slices.ContainsFunc(failureMarks, func(m []byte) bool { return bytes.Contains(b, m) }), nil
}
