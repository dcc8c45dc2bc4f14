package cmd

import (
	"math"
	"os"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/dev"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/standin/engine"
	"github.com/wardridge/wardridge/internal/standin/platform"
	"github.com/wardridge/wardridge/internal/trace"
)

// devCommand groups the commands for developers.
type devCommand struct {
	Up       upCommand       `cmd:"" help:"Run a whole small system in this process."`
	Platform platformCommand `cmd:"" help:"Run a stand-in for the platform."`
	Engine   engineCommand   `cmd:"" help:"Run a stand-in for a model engine."`
	Service  serviceCommand  `cmd:"" help:"Run a stand-in for a plain service."`
	Load     loadCommand     `cmd:"" help:"Send a mix of requests and report what callers see."`
	Measure  measureCommand  `cmd:"" help:"Measure the decisions in virtual time."`
	Soak     soakCommand     `cmd:"" help:"Run entry VMs as processes under faults and check what callers and servers see."`
}

// standInFlags holds the flags that all stand-in processes have.
type standInFlags struct {
	Listen    string `help:"IP address and port." required:""`
	TraceFile string `help:"File to write spans to; without it none are written."`
}

// run sets up log and traces, and runs a stand-in with them.
func (p *standInFlags) run(e *environment, name string, f func(l *event.Log) error) error {
	l, flush, err := newLog()
	if err != nil {
		return err
	}
	defer flush()
	s := api.TraceSettings{Exporter: api.TraceSettingsExporterNone, SamplePermille: 1000}
	if p.TraceFile != "" {
		s.Exporter, s.Target = api.TraceSettingsExporterFile, p.TraceFile
	}
	end, err := trace.Install(e, s, name)
	if err != nil {
		return err
	}
	defer end()
	return f(l)
}

// newLog creates the log of a stand-in process on standard output. The returned function
// flushes it.
func newLog() (*event.Log, func(), error) {
	return event.New(api.LogSettings{Level: api.LogSettingsLevelInfo, Format: logFormat(os.Stdout)})
}

// logFormat returns the console format for a terminal, and JSON for any other file.
func logFormat(f *os.File) api.LogSettingsFormat {
	i, err := f.Stat()
	if err == nil && i.Mode()&os.ModeCharDevice != 0 {
		return api.LogSettingsFormatConsole
	}
	return api.LogSettingsFormatJson
}

// upCommand runs a whole small system in one process.
type upCommand struct {
	Host string `help:"IP address to listen on." default:"127.0.0.1"`
}

// Run runs the system until it is stopped.
func (c *upCommand) Run(e *environment) error {
	l, flush, err := newLog()
	if err != nil {
		return err
	}
	defer flush()
	return dev.Up(e, c.Host, l, e.out)
}

// platformCommand runs a stand-in for the platform.
type platformCommand struct {
	standInFlags
	Writes  int           `help:"Writes allowed per second." default:"100"`
	Reads   int           `help:"Reads allowed per second." default:"2000"`
	ListLag time.Duration `help:"Age of the list of VMs." default:"1s"`
}

// Run runs the platform until it is stopped.
func (c *platformCommand) Run(e *environment) error {
	return c.run(e, "platform", func(l *event.Log) error {
		o := platform.Options{WritesPerSecond: c.Writes, ReadsPerSecond: c.Reads, VMListLag: c.ListLag}
		return dev.Platform(e, c.Listen, platform.New(platform.NewStore(), o), l)
	})
}

// engineCommand runs a stand-in for a model engine.
type engineCommand struct {
	standInFlags
	Name       string        `help:"Name of the backend server." required:""`
	Memory     int           `help:"KV cache memory in tokens." default:"32768"`
	Batch      int           `help:"Maximum number of generations that run at once." default:"64"`
	Step       time.Duration `help:"Duration of an empty step." default:"12ms"`
	StepMore   time.Duration `help:"Time that each generation adds to a step." default:"400us"`
	Speed      float64       `help:"Speed of all steps; at 0.5 they take twice the time." default:"1"`
	ReportLag  time.Duration `help:"Age of the load reports." default:"200ms"`
	Orphan     time.Duration `help:"Time a generation runs without a reader." default:"30s"`
	LoadTime   time.Duration `help:"Time an order to load takes." default:"200ms"`
	CheckFence bool          `help:"Refuse orders with an old fence." default:"true" negatable:""`
	Loaded     []string      `help:"Models and adapters loaded at the start, as kind/name@weights."`
	Seed       uint64        `help:"Seed of the random numbers." default:"1"`
}

// Run runs the engine until it is stopped.
func (c *engineCommand) Run(e *environment) error {
	if !(c.Speed > 0) || math.IsInf(c.Speed, 1) {
		return fault.New(fault.InvalidRequest, "the speed must be a positive number")
	}
	o := engine.Defaults()
	o.Name = api.ServerName(c.Name)
	o.Batch.KVTokens = api.Tokens(c.Memory)
	o.Batch.MaxBatch = c.Batch
	o.Batch.StepBase = c.Step
	o.Batch.StepPerGeneration = c.StepMore
	o.Batch = o.Batch.AtSpeed(c.Speed)
	o.ReportLag = c.ReportLag
	o.OrphanTimeout = c.Orphan
	o.LoadTime = c.LoadTime
	o.ChecksFence = c.CheckFence
	o.Loaded = c.Loaded
	o.Seed = c.Seed
	return c.run(e, c.Name, func(l *event.Log) error {
		return dev.Engine(e, c.Listen, o, l)
	})
}

// serviceCommand runs a stand-in for a plain service.
type serviceCommand struct {
	standInFlags
	Name string `help:"Name of the backend server." required:""`
}

// Run runs the service until it is stopped.
func (c *serviceCommand) Run(e *environment) error {
	return c.run(e, c.Name, func(l *event.Log) error {
		return dev.Service(e, c.Listen, api.ServerName(c.Name), l)
	})
}
