package upkeep

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/decide/status"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/leader"
	"github.com/wardridge/wardridge/internal/metric"
)

// Duty is the name of the lease.
const Duty = "upkeep"

// RoundInterval is the time between two rounds of upkeep.
const RoundInterval = time.Second

// maxWritesPerRound limits the status writes of one round, so that a large change does
// not use up the write rate that the platform allows.
const maxWritesPerRound = 5

// Store is the platform's store of status objects and claims.
type Store interface {
	Get(ctx context.Context, k api.ResourceKind, n string) (api.Object, error)
	List(ctx context.Context, kinds []api.ResourceKind) (api.ObjectList, error)
	PutConfirmed(ctx context.Context, o api.Object) (api.Object, error)
	Delete(ctx context.Context, k api.ResourceKind, n string, v api.Version) error
}

// Worker writes status objects and removes expired claims.
type Worker struct {
	leader         *leader.Leader
	store          Store
	view           func() *config.View
	servers        func() []api.ServerStatus
	reports        func() map[api.ServerName]api.LoadReport
	claimRetention time.Duration
	log            *event.Log
	metrics        *metric.Set

	// written holds the last known status of each object and its version. It is cleared
	// when the lease changes hands, and when the platform is restored from a backup, which
	// may lack these writes.
	written   map[string]api.Object
	fence     api.Fence
	era       api.Era
	lastSweep time.Time
}

// New creates a worker that removes claims older than retention.
func New(l *leader.Leader, s Store, view func() *config.View, servers func() []api.ServerStatus, reports func() map[api.ServerName]api.LoadReport, retention time.Duration, e *event.Log, m *metric.Set) *Worker {
	return &Worker{leader: l, store: s, view: view, servers: servers, reports: reports, claimRetention: retention, log: e, metrics: m}
}

// Run does a round of upkeep per RoundInterval until ctx ends.
func (w *Worker) Run(ctx context.Context) error {
	return duty.Loop(ctx, func() time.Duration { return RoundInterval }, w.round)
}

func (w *Worker) round(ctx context.Context) {
	f, ok := w.leader.Held()
	if !ok {
		return
	}
	if e := w.view().Version.Era(); f != w.fence || e != w.era {
		w.written = map[string]api.Object{}
		w.fence, w.era = f, e
		w.lastSweep = time.Time{}
	}
	w.writeStatus(ctx)
	w.sweep(ctx)
}

func (w *Worker) writeStatus(ctx context.Context) {
	left := maxWritesPerRound
	for _, s := range w.currentStatus() {
		if left == 0 {
			return
		}
		if w.write(ctx, s) {
			left--
		}
	}
}

// currentStatus returns the status of every declared engine.
func (w *Worker) currentStatus() []api.StatusSpec {
	v := w.view()
	r := w.reports()
	var l []api.StatusSpec
	for _, s := range w.servers() {
		d, ok := v.Servers[s.Server]
		if !ok {
			continue
		}
		l = append(l, status.Of(status.Server{
			Name: s.Server, State: s.State, Version: d.Version, Wanted: v.RequiredItems(d), Loaded: r[s.Server].Loaded,
		}))
	}
	return l
}

// write writes a status if it has changed, and reports whether it called the platform.
func (w *Worker) write(ctx context.Context, s api.StatusSpec) bool {
	b, err := json.Marshal(s)
	if err != nil {
		return false
	}
	n := string(s.OfKind) + "." + s.OfName
	last, ok := w.written[n]
	if ok && string(last.Spec) == string(b) {
		return false
	}
	if !ok && !w.readStored(ctx, n, &last) {
		return true
	}
	if string(last.Spec) == string(b) {
		w.written[n] = last
		return true
	}
	w.metrics.Add(metric.PlatformWrites, 1)
	o, err := w.store.PutConfirmed(ctx, api.Object{Kind: api.ResourceKindStatus, Name: n, Version: last.Version, Spec: b})
	if err != nil {
		// The stored status is read again before the next attempt.
		delete(w.written, n)
		return true
	}
	w.written[n] = api.Object{Version: o.Version, Spec: b}
	w.log.Emit(event.StatusWritten, zap.String("status", n), zap.String("state", string(s.State)))
	return true
}

// readStored reads the stored status into out, and reports whether the read succeeded. A
// status that does not exist leaves out unchanged and is no failure.
func (w *Worker) readStored(ctx context.Context, n string, out *api.Object) bool {
	w.metrics.Add(metric.PlatformReads, 1)
	o, err := w.store.Get(ctx, api.ResourceKindStatus, n)
	if fault.Has(err, fault.NotFound) {
		return true
	}
	*out = o
	return err == nil
}
