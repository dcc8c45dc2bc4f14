package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/wire"
)

// Options configure a run.
type Options struct {
	Entries   []string
	Mix       Mix
	Model     string
	Requests  int
	PerSecond float64
	Seed      uint64
	// DrainTimeout bounds the time from the last arrival to the end of the run.
	DrainTimeout time.Duration
	// Progress is called every progressEvery while the run is under way; may be nil.
	Progress func(p Progress)
	// Dial opens connections; nil uses the default dialer.
	Dial wire.DialFunc
}

// progressEvery is the interval between progress reports.
const progressEvery = 2 * time.Second

// Run sends the planned requests at their times and reports what the callers saw.
func Run(ctx context.Context, o Options) (Report, error) {
	const dial = 2 * time.Second
	const perHost = 512
	t := wire.NewTransport(dial, true)
	t.MaxIdleConnsPerHost = perHost
	if o.Dial != nil {
		t.DialContext = o.Dial
	}
	defer t.CloseIdleConnections()
	b := newBalancer(o.Entries, t.DialContext)
	background, stop := duty.New(ctx)
	defer stop()
	background.Go(b.checkHealth)
	c := &caller{http: &http.Client{Transport: t}, balancer: b, model: o.Model}
	var mutex sync.Mutex
	s := newSummary()
	if o.Progress != nil {
		background.Every(progressEvery, func(context.Context) {
			mutex.Lock()
			p := s.progress(o.Requests)
			mutex.Unlock()
			o.Progress(p)
		})
	}
	began := time.Now()
	x, cancel := context.WithCancel(ctx)
	defer cancel()
	g, end := duty.New(x)
	defer end()
	for _, a := range Plan(o.Mix, o.Requests, o.PerSecond, o.Seed) {
		if !duty.Sleep(ctx, time.Until(began.Add(a.At))) {
			return Report{}, ctx.Err()
		}
		mutex.Lock()
		s.sent++
		mutex.Unlock()
		g.Go(func(ctx context.Context) error {
			r := c.send(ctx, a)
			mutex.Lock()
			defer mutex.Unlock()
			s.add(r)
			return nil
		})
	}
	defer time.AfterFunc(o.DrainTimeout, cancel).Stop()
	// The tasks return no errors; failures are part of the report.
	_ = g.Wait()
	return s.report(o, time.Since(began)), nil
}
