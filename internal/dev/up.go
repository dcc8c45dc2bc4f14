package dev

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/node"
	client "github.com/wardridge/wardridge/internal/objectapi"
	"github.com/wardridge/wardridge/internal/resource"
	"github.com/wardridge/wardridge/internal/sample"
	"github.com/wardridge/wardridge/internal/settings"
	"github.com/wardridge/wardridge/internal/standin/engine"
	"github.com/wardridge/wardridge/internal/standin/platform"
)

// Host is the IP address on which the small system listens by default; the sample
// resources contain it.
const Host = "127.0.0.1"

// serviceName is the name of the backend server that runs the sample's plain service.
const serviceName = "orders-1"

// process is an entry VM or engine of the small system.
type process struct {
	name, listen, control string
}

// system holds the addresses of the small system at one IP address; the sample
// resources use the same ports.
type system struct {
	host              string
	platform, service string
	entries, engines  []process
}

func newSystem(host string) system {
	return system{
		host: host, platform: host + ":7000", service: host + ":7021",
		entries: []process{{"entry-1", host + ":7001", host + ":7101"}, {"entry-2", host + ":7002", host + ":7102"}},
		engines: []process{{"engine-1", host + ":7011", ""}, {"engine-2", host + ":7012", ""}},
	}
}

// DefaultPlatformOptions holds the default options of the platform's stand-in: the rates that
// it allows and the lag of its list of VMs.
var DefaultPlatformOptions = platform.Options{WritesPerSecond: 100, ReadsPerSecond: 2000, VMListLag: time.Second}

// Up runs a complete small system at an IP address in this process until the context
// ends. Once it is ready, Up writes instructions for its use to out.
func Up(ctx context.Context, host string, l *event.Log, out io.Writer) error {
	y := newSystem(host)
	// The stand-ins end after the entry VMs, so that a stop interrupts no request.
	outer, end := duty.New(context.WithoutCancel(ctx))
	defer end()
	p := platform.New(platform.NewStore(), DefaultPlatformOptions)
	outer.Go(func(ctx context.Context) error { return Platform(ctx, y.platform, p, l) })
	for _, e := range y.engines {
		o := engine.Defaults()
		o.Name = api.ServerName(e.name)
		outer.Go(func(ctx context.Context) error { return Engine(ctx, e.listen, o, l) })
	}
	outer.Go(func(ctx context.Context) error { return Service(ctx, y.service, serviceName, l) })
	for _, e := range y.entries {
		p.SetVM(api.VM{Name: e.name, Role: api.VMRoleEntry, State: api.VMStateLive, Address: e.control, Domain: domain})
	}
	if err := applySample(ctx, y); err != nil {
		return err
	}
	g, stop := duty.New(context.WithoutCancel(ctx))
	defer stop()
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, e := range y.entries {
		s, err := settings.Parse(e.name, y.settingsFile(e))
		if err != nil {
			return err
		}
		g.Go(func(context.Context) error { return node.Run(x, node.RealMachine(), s, l) })
	}
	if err := waitReady(ctx, y.entries); err != nil {
		return g.Wait()
	}
	y.printUsage(out)
	return g.Wait()
}

// domain is the failure domain of the entry VMs of the small system.
const domain = "hall-a"

func (y system) settingsFile(e process) []byte {
	return fmt.Appendf(nil, "[node]\nname = %s\ndomain = %s\nlisten = %s\ncontrol = %s\n[platform]\naddress = %s\n", e.name, domain, e.listen, e.control, y.platform)
}

// applySample applies the sample resources, with the small system's IP address in
// place of Host.
func applySample(ctx context.Context, y system) error {
	l, err := resource.Parse("sample", bytes.ReplaceAll(sample.Resources, []byte(Host), []byte(y.host)))
	if err != nil {
		return err
	}
	c, closer := client.New(y.platform, time.Second)
	defer closer()
	for _, o := range l {
		if err := applyWithRetry(ctx, c, o); err != nil {
			return err
		}
	}
	return nil
}

// applyWithRetry applies a resource and retries, since the platform may still be
// starting.
func applyWithRetry(ctx context.Context, c *client.Client, o api.Object) error {
	const tries, pause = 50, 20 * time.Millisecond
	var err error
	for range tries {
		if _, err = resource.Apply(ctx, c, o); err == nil {
			return nil
		}
		if !duty.Sleep(ctx, pause) {
			return ctx.Err()
		}
	}
	return err
}

func (y system) printUsage(out io.Writer) {
	// An error means that nobody reads the output any more.
	_, _ = fmt.Fprintf(out, `A small system is ready: two entry VMs, two engines, one plain service.
Send a request through either entry VM:

  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"desk","stream":true,"messages":[{"role":"user","content":"Can I have a skip on Friday?"}]}'

Inspect it with: wardctl status, wardctl get backend-server, wardctl dev load
Stop with Ctrl-C.
`, y.entries[0].listen, sample.KeyDispatch)
}
