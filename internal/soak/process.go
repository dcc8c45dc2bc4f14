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

// process is one process of the entry VM program.
type process struct {
	command *exec.Cmd
	done    chan struct{}

	mutex sync.Mutex
	// endRequested is set before the soak itself ends the process.
	endRequested bool
}

// startProcess starts a program and appends its output to a log file.
func startProcess(g *duty.Group, program, settings, logPath string) (*process, error) {
	f, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fault.Wrap(fault.UnreadableFile, err, "opening a log")
	}
	// The soak ends the process by signals, never by cancelling a context.
	c := exec.CommandContext(context.Background(), program, settings)
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		_ = f.Close()
		return nil, fault.Wrap(fault.UnreadableFile, err, "starting "+program)
	}
	p := &process{command: c, done: make(chan struct{})}
	g.Go(func(context.Context) error {
		defer close(p.done)
		// endRequested decides whether the exit was expected, so the exit status is
		// ignored.
		_ = c.Wait()
		return f.Close()
	})
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	// Fails only if the process has ended already.
	_ = p.command.Process.Signal(s)
}

// markEnding records that the soak itself ends the process.
func (p *process) markEnding() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.endRequested = true
}

// endedUnexpectedly reports whether the process has ended without a request by the soak.
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

// kill ends the process at once, even if it is paused.
func (p *process) kill() {
	p.markEnding()
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop requests a planned stop and kills the process after the grace period.
func (p *process) stop(grace time.Duration) {
	p.markEnding()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(grace):
		p.kill()
	}
}

// failureMarks are texts that a Go program writes on a data race, panic or fatal error.
var failureMarks = [][]byte{[]byte("WARNING: DATA RACE"), []byte("panic: "), []byte("fatal error: ")}

// hasFailureMark reports whether a log contains a failure mark.
func hasFailureMark(path string) (bool, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return false, fault.Wrap(fault.UnreadableFile, err, "reading a log")
	}
	return slices.ContainsFunc(failureMarks, func(m []byte) bool { return bytes.Contains(b, m) }), nil
}
