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

// Duty names the lease.
const Duty = "upkeep"

// RoundInterval is the time between looks at what has to be written.
const RoundInterval = time.Second

// maxWritesPerRound bounds the status writes of one round, so that a large change
// leaves the platform's writes to others.
const maxWritesPerRound = 5

// Store is where status and claims are kept.
type Store interface {
	Get(ctx context.Context, k api.ResourceKind, n string) (api.Object, error)
	List(ctx context.Context, kinds []api.ResourceKind) (api.ObjectList, error)
	PutConfirmed(ctx context.Context, o api.Object) (api.Object, error)
	Delete(ctx context.Context, k api.ResourceKind, n string, v api.Version) error
}

// Worker does the upkeep.
type Worker struct {
	leader  *leader.Leader
	store   Store
	view    func() *config.View
	servers func() []api.ServerStatus
	reports func() map[api.ServerName]api.LoadReport
	claimRetention    time.Duration
	log     *event.Log
	metrics *metric.Set

	// written is the last status of each object and its version; it is
	// forgotten when the lease is lost, or the platform came back from a copy that
	// may lack it.
	written map[string]api.Object
	fence   api.Fence
	era     api.Era
	lastSweep   time.Time
}

// New makes a keeper that removes claims older than keep.
func New(l *leader.Leader, s Store, view func() *config.View, servers func() []api.ServerStatus, reports func() map[api.ServerName]api.LoadReport, keep time.Duration, e *event.Log, m *metric.Set) *Worker {
	return &Worker{leader: l, store: s, view: view, servers: servers, reports: reports, claimRetention: keep, log: e, metrics: m}
}

// Run is the duty.
func (k *Worker) Run(ctx context.Context) error {
	return duty.Loop(ctx, func() time.Duration { return RoundInterval }, k.round)
}

func (k *Worker) round(ctx context.Context) {
	f, ok := k.leader.Held()
	if !ok {
		return
	}
	if e := k.view().Version.Era(); f != k.fence || e != k.era {
		k.written = map[string]api.Object{}
		k.fence, k.era = f, e
		k.lastSweep = time.Time{}
	}
	k.writeStatus(ctx)
	k.sweep(ctx)
}

func (k *Worker) writeStatus(ctx context.Context) {
	left := maxWritesPerRound
	for _, s := range k.currentStatus() {
		if left == 0 {
			return
		}
		if k.write(ctx, s) {
			left--
		}
	}
}

// currentStatus lists the status of every declared engine.
func (k *Worker) currentStatus() []api.StatusSpec {
	v := k.view()
	r := k.reports()
	var l []api.StatusSpec
	for _, s := range k.servers() {
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

// write writes a status that changed and reports whether it called the
// platform.
func (k *Worker) write(ctx context.Context, s api.StatusSpec) bool {
	b, err := json.Marshal(s)
	if err != nil {
		return false
	}
	n := string(s.OfKind) + "." + s.OfName
	last, ok := k.written[n]
	if ok && string(last.Spec) == string(b) {
		return false
	}
	if !ok && !k.readStored(ctx, n, &last) {
		return true
	}
	if string(last.Spec) == string(b) {
		k.written[n] = last
		return true
	}
	k.metrics.Add(metric.PlatformWrites, 1)
	o, err := k.store.PutConfirmed(ctx, api.Object{Kind: api.ResourceKindStatus, Name: n, Version: last.Version, Spec: b})
	if err != nil {
		// What is there now is read before the next try.
		delete(k.written, n)
		return true
	}
	k.written[n] = api.Object{Version: o.Version, Spec: b}
	k.log.Emit(event.StatusWritten, zap.String("status", n), zap.String("state", string(s.State)))
	return true
}

// readStored reads the present status, which may not exist.
func (k *Worker) readStored(ctx context.Context, n string, out *api.Object) bool {
	k.metrics.Add(metric.PlatformReads, 1)
	o, err := k.store.Get(ctx, api.ResourceKindStatus, n)
	if fault.Has(err, fault.NotFound) {
		return true
	}
	*out = o
	return err == nil
}
