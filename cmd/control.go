package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/objectapi"
	"github.com/wardridge/wardridge/internal/peer"
)

// controlCLI is the command line of wardctl.
type controlCLI struct {
	Platform string        `help:"Address of the platform's object API." default:"127.0.0.1:7000" env:"WARDRIDGE_PLATFORM"`
	Entry    string        `help:"Control address of any entry VM." default:"127.0.0.1:7101" env:"WARDRIDGE_ENTRY"`
	Output   string        `help:"Output format." enum:"text,json" default:"text" short:"o"`
	Timeout  time.Duration `help:"Maximum time of one call." default:"5s"`

	Apply      applyCommand                 `cmd:"" help:"Apply resources from a file."`
	Get        getCommand                   `cmd:"" help:"Show resources and status objects."`
	Watch      watchCommand                 `cmd:"" help:"Print changes of resources and status objects as they happen."`
	Status     statusCommand                `cmd:"" help:"Show the system as an entry VM sees it."`
	Explain    explainCommand               `cmd:"" help:"Show what was decided for a request and why."`
	Summary    summaryCommand               `cmd:"" help:"Summarize logs: how requests ended, moves, pauses, and why streams were lost."`
	Drain      drainCommand                 `cmd:"" help:"Drain a backend server, or put it back to work."`
	Close      closeCommand                 `cmd:"" help:"Close a failure domain to new work, or reopen it."`
	Engines    enginesCommand               `cmd:"" help:"Show the speeds, classes, roles and loads of engines, and pin roles."`
	Check      checkCommand                 `cmd:"" help:"Validate a settings file (.ini) or a resources file."`
	Dev        devCommand                   `cmd:"" help:"Stand-ins and the load tool."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print the shell's completion set-up."`
}

// environment holds the context, the global flags and the outputs of a command.
type environment struct {
	context.Context
	cli *controlCLI
	out io.Writer
	err io.Writer
}

// Control runs one wardctl command and returns the exit status.
func Control(args []string, out, errs io.Writer) int {
	var l controlCLI
	status := -1
	p, err := kong.New(&l,
		kong.Name("wardctl"),
		kong.Description("Declares resources, shows their effect, and runs stand-ins."),
		kong.Writers(out, errs),
		kong.Exit(func(n int) { status = n }),
	)
	if err != nil {
		return printError(errs, err)
	}
	kongplete.Complete(p)
	k, err := p.Parse(args)
	if status >= 0 {
		// Help was requested and has been printed.
		return status
	}
	if err != nil {
		return printError(errs, err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := k.Run(&environment{Context: ctx, cli: &l, out: out, err: errs}); err != nil {
		return printError(errs, err)
	}
	return 0
}

func printError(errs io.Writer, err error) int {
	_, _ = fmt.Fprintln(errs, "wardctl:", err)
	return 1
}

// platform returns a client for the platform. The returned function closes it.
func (e *environment) platform() (*objectapi.Client, func()) {
	return objectapi.New(e.cli.Platform, e.cli.Timeout)
}

// peer returns a client for entry VMs. The returned function closes it.
func (e *environment) peer() (*peer.Client, func()) {
	return peer.New(e.cli.Timeout)
}

// wantsJSON reports whether the output format is JSON.
func (e *environment) wantsJSON() bool {
	return e.cli.Output == "json"
}

// writeJSON prints a value as indented JSON.
func (e *environment) writeJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encoding the output")
	}
	return e.printf("%s\n", b)
}

func (e *environment) printf(format string, a ...any) error {
	if _, err := fmt.Fprintf(e.out, format, a...); err != nil {
		return fault.Wrap(fault.UnreadableFile, err, "writing the output")
	}
	return nil
}
