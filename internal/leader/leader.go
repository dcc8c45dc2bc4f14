package leader

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/decide/lease"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/metric"
)

// Store is the platform's store of lease objects.
type Store interface {
	List(ctx context.Context, kinds []api.ResourceKind) (api.ObjectList, error)
	Put(ctx context.Context, o api.Object) (api.Object, error)
}

// Leader acquires, renews and releases the lease on one duty for this entry VM.
type Leader struct {
	duty    string
	store   Store
	now     clock.Now
	log     *event.Log
	metrics *metric.Set

	mutex sync.Mutex
	lease *lease.Lease
	held  bool
}

// New creates a leader that does not hold the lease yet. The clock has to advance also
// while the VM is suspended.
func New(duty string, s Store, o lease.Owner, t lease.Timing, now clock.Now, l *event.Log, m *metric.Set) *Leader {
	return &Leader{duty: duty, store: s, now: now, log: l, metrics: m, lease: lease.New(o, t)}
}

// Duty returns the name of the duty, which is also that of the lease object.
func (l *Leader) Duty() string {
	return l.duty
}

// Held returns the fence and whether this entry VM holds the lease. It has to be called
// immediately before each action under the lease.
func (l *Leader) Held() (api.Fence, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.lease.Held(l.now())
}

// Remaining returns for how long this entry VM still holds the lease for certain, 0 if it
// does not hold it.
func (l *Leader) Remaining() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return max(0, l.lease.HeldUntil().Sub(l.now()))
}

// SetWanted sets whether this entry VM should hold the lease.
func (l *Leader) SetWanted(w bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lease.SetWanted(w)
}

// stepInterval is the time between calls of Step.
const stepInterval = 200 * time.Millisecond

// Run acquires and renews the lease until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	return duty.Loop(ctx, func() time.Duration { return stepInterval }, l.Step)
}

// Step makes the call to the store that is due, if any.
func (l *Leader) Step(ctx context.Context) {
	l.mutex.Lock()
	a := l.lease.Step(l.now())
	l.mutex.Unlock()
	switch a.Kind {
	case lease.Read:
		l.read(ctx)
	case lease.Write:
		l.write(ctx, a)
	}
	l.logTransition()
}

// read reads the lease by a list, which returns the platform's era even if there is no
// lease object.
func (l *Leader) read(ctx context.Context) {
	l.metrics.Add(metric.PlatformReads, 1)
	x, err := l.store.List(ctx, []api.ResourceKind{api.ResourceKindLease})
	if err != nil {
		l.metrics.Add(metric.PlatformFailures, 1)
		return
	}
	o := lease.Object{Era: x.Version.Era()}
	for _, y := range x.Items {
		if y.Name != l.duty {
			continue
		}
		if err := json.Unmarshal(y.Spec, &o.Spec); err != nil {
			l.metrics.Add(metric.PlatformFailures, 1)
			return
		}
		o.Exists, o.Version = true, y.Version
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lease.HandleRead(l.now(), o)
}

func (l *Leader) write(ctx context.Context, a lease.Action) {
	b, err := json.Marshal(a.Spec)
	if err != nil {
		return
	}
	l.metrics.Add(metric.PlatformWrites, 1)
	o, err := l.store.Put(ctx, api.Object{Kind: api.ResourceKindLease, Name: l.duty, Version: a.Version, Spec: b})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		l.metrics.Add(metric.PlatformFailures, 1)
		l.lease.Invalidate()
		return
	}
	l.lease.HandleWritten(o.Version)
}

// logTransition logs when this entry VM acquires or loses the lease.
func (l *Leader) logTransition() {
	f, held := l.Held()
	l.mutex.Lock()
	before := l.held
	l.held = held
	l.mutex.Unlock()
	switch {
	case held && !before:
		l.log.Emit(event.LeaseTaken, zap.String("duty", l.duty), zap.Int("fence", int(f)))
	case before && !held:
		l.log.Emit(event.LeaseLost, zap.String("duty", l.duty))
	}
}

// Release releases the lease at a planned stop, if it is held.
func (l *Leader) Release(ctx context.Context) {
	l.SetWanted(false)
	if _, held := l.Held(); !held {
		return
	}
	l.mutex.Lock()
	l.held = false
	l.mutex.Unlock()
	l.Step(ctx)
	l.log.Emit(event.LeaseReleased, zap.String("duty", l.duty))
}
