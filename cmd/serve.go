package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/node"
	"github.com/wardridge/wardridge/internal/settings"
	"github.com/wardridge/wardridge/internal/trace"
)

// serveCLI is the command line of wardridge.
type serveCLI struct {
	Settings string `arg:"" help:"INI file with this entry VM's settings." type:"path"`
	Check    bool   `help:"Check the settings and exit."`
}

// Serve runs an entry VM until SIGTERM or SIGINT, and returns the exit status.
func Serve(args []string) int {
	// SIGHUP is handled before anything else, since it ends a process that does not.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	var l serveCLI
	p, err := kong.New(&l, kong.Name("wardridge"), kong.Description("Serves generations of unknown length from crowded engines: the process on each entry VM."))
	if err != nil {
		return printFailure(os.Stderr, err)
	}
	if _, err := p.Parse(args); err != nil {
		return printFailure(os.Stderr, err)
	}
	if err := l.run(reload); err != nil {
		return printFailure(os.Stderr, err)
	}
	return 0
}

func (l *serveCLI) run(reload <-chan os.Signal) error {
	s, err := settings.Load(l.Settings)
	if err != nil || l.Check {
		return err
	}
	e, flush, err := event.New(s.Log)
	if err != nil {
		return err
	}
	defer flush()
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	end, err := trace.Install(ctx, s.Trace, string(s.Node.Name))
	if err != nil {
		return err
	}
	defer end()
	if s.Platform.Wire == api.PlatformSettingsWireHosted {
		r := node.SettingsReload{Signal: reload, Load: func() (api.Settings, error) { return settings.Load(l.Settings) }}
		return node.RunHosted(ctx, node.RealMachine(), s, e, r, newHostedAdapter)
	}
	return node.Run(ctx, node.RealMachine(), s, e)
}

// printFailure prints an error and returns the exit status.
func printFailure(out *os.File, err error) int {
	_, _ = fmt.Fprintln(out, "wardridge:", err)
	return 1
}
