package cmd

import (
	"os"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/loganalysis"
)

// standardInput stands for standard input in a list of log files.
const standardInput = "-"

// explainCommand shows what was decided for a request and why.
type explainCommand struct {
	Request string   `arg:"" help:"Request id, as in X-Request-Id."`
	Logs    []string `help:"Log files of entry VMs to read instead of querying one; - is standard input." type:"path" sep:","`
}

// Run reads the logs if any are given. Otherwise it queries an entry VM, which in turn
// queries its peers for a request that it did not handle.
func (c *explainCommand) Run(e *environment) error {
	if len(c.Logs) > 0 {
		return c.explainFromLogs(e)
	}
	p, closer := e.peer()
	defer closer()
	x, err := p.Explain(e, e.cli.Entry, api.RequestID(c.Request), false)
	if err != nil {
		return err
	}
	if e.wantsJSON() {
		return e.writeJSON(x)
	}
	if err := e.printf("request %s of workspace %s on entry VM %s\n", x.Request, x.Workspace, x.VM); err != nil {
		return err
	}
	for _, d := range x.Decisions {
		at := time.UnixMilli(int64(d.TimeMS)).UTC().Format("15:04:05.000")
		if err := e.printf("%s %-9s %s\n", at, d.Step, d.Detail); err != nil {
			return err
		}
	}
	return nil
}

// explainFromLogs prints the timeline of a request from logs.
func (c *explainCommand) explainFromLogs(e *environment) error {
	all, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	l := loganalysis.Timeline(all, c.Request)
	if len(l) == 0 {
		return fault.New(fault.UnknownRequest, "these logs have no line of request "+c.Request)
	}
	if e.wantsJSON() {
		return e.writeJSON(l)
	}
	for _, x := range l {
		if err := e.printf("%s\n", x); err != nil {
			return err
		}
	}
	return nil
}

// readLogs reads the lines of several logs.
func readLogs(names []string) ([]loganalysis.Line, error) {
	var all []loganalysis.Line
	for _, n := range names {
		l, err := readLog(n)
		if err != nil {
			return nil, err
		}
		all = append(all, l...)
	}
	return all, nil
}

func readLog(name string) ([]loganalysis.Line, error) {
	if name == standardInput {
		return loganalysis.Read("standard input", os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, fault.Wrap(fault.UnreadableFile, err, "opening a log")
	}
	// An error on closing a file that was only read does no harm.
	defer func() { _ = f.Close() }()
	return loganalysis.Read(name, f)
}
