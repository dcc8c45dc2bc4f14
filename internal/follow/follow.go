package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/lifecycle"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/resource"
	"github.com/wardridge/wardridge/internal/ring"
)

// Source is where the configuration comes from.
type Source interface {
	List(ctx context.Context, kinds []api.ResourceKind) (api.ObjectList, error)
	Watch(ctx context.Context, from api.Version, wait time.Duration, kinds []api.ResourceKind) (api.ChangeList, error)
}

// Taker is told of every view before it counts as in force.
type Taker func(v *config.View)

// update is what one call brought; sent is when it was asked, by the life's
// clock.
type update struct {
	list    *api.ObjectList
	changes *api.ChangeList
	sent    time.Time
	peer    bool
}

// ringSize bounds the updates that wait to come into force.
const ringSize = 64

// Follower holds the configuration in force.
type Follower struct {
	source  Source
	life    *lifecycle.Life
	log     *event.Log
	metrics *metric.Set
	wait    time.Duration
	takers  []Taker
	updates *ring.Ring[update]
	view    atomic.Pointer[config.View]
	heard   atomic.Int64

	mutex sync.Mutex
	store *config.Store
	lost  bool
	// back is when the platform began to answer, after a failure or the start.
	back time.Time
	// ready is closed once a watch has confirmed the first list.
	ready   chan struct{}
	watched bool
}

// New makes a follower that has no configuration yet; wait is the longest
// time of one watch.
func New(s Source, l *lifecycle.Life, e *event.Log, m *metric.Set, wait time.Duration, takers ...Taker) *Follower {
	f := &Follower{
		source: s, life: l, log: e, metrics: m, wait: wait, takers: takers,
		updates: ring.New[update](ringSize), store: config.New(), ready: make(chan struct{}),
	}
	f.view.Store(&config.View{})
	return f
}

// View is the configuration in force; it does not change once read.
func (f *Follower) View() *config.View {
	return f.view.Load()
}

// Ready is closed once a watch from the first list has been answered, so that
// a stale list alone never opens a VM that has just started.
func (f *Follower) Ready() <-chan struct{} {
	return f.ready
}

// List gives the configuration in force for a peer.
func (f *Follower) List() api.ObjectList {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.store.List(f.life.Now())
}

// Kept counts the objects that stay in force in spite of the platform.
func (f *Follower) Kept() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.store.Retained()
}

// Age is the time since the platform last answered.
func (f *Follower) Age() time.Duration {
	return time.Since(time.Unix(0, f.heard.Load()))
}

// Answered is for how long the platform has answered, zero while it does not.
func (f *Follower) Answered() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.lost || f.back.IsZero() {
		return 0
	}
	return f.life.Now().Sub(f.back)
}

// Watch is the duty that asks the platform.
func (f *Follower) Watch(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		u, err := f.ask(ctx)
		if err != nil {
			failures++
			f.failed(ctx, err)
			duty.Sleep(ctx, backoff(failures))
			continue
		}
		failures = 0
		f.answered()
		if !f.updates.Put(ctx, u) {
			return nil
		}
	}
	return nil
}

// Bounds of the wait after a failed call.
const (
	backoffFirst = 100 * time.Millisecond
	backoffLast  = 2 * time.Second
)

// backoff doubles with each failure and is spread, so that entry VMs don't
// come back together.
func backoff(failures int) time.Duration {
	d := min(backoffFirst<<min(failures, 6), backoffLast)
	return d/2 + rand.N(d/2)
}

// ask lists when there is nothing to watch from, and else watches.
func (f *Follower) ask(ctx context.Context) (update, error) {
	sent := f.life.Now()
	from := f.version()
	if from > 0 {
		f.metrics.Add(metric.PlatformWatches, 1)
		l, err := f.source.Watch(ctx, from, f.watchTime(), config.DeclaredKinds)
		if !fault.Has(err, fault.WatchTooOld) {
			return update{changes: &l, sent: sent}, err
		}
		f.log.Emit(event.WatchRestarted, zap.Stringer("version", from))
	}
	f.metrics.Add(metric.PlatformReads, 1)
	l, err := f.source.List(ctx, config.DeclaredKinds)
	return update{list: &l, sent: sent}, err
}

// watchTime is none for the first watch, which only confirms the list.
func (f *Follower) watchTime() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.watched {
		return 0
	}
	return f.wait
}

// version is what the store knows, which a queued update may be ahead of; the
// watch then gives that update once more, and the store drops it.
func (f *Follower) version() api.Version {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.store.Version()
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.metrics.Add(metric.PlatformFailures, 1)
	f.mutex.Lock()
	first := !f.lost
	f.lost = true
	f.mutex.Unlock()
	if first {
		f.log.Emit(event.PlatformLost, zap.Error(err))
	}
}

func (f *Follower) answered() {
	f.heard.Store(time.Now().UnixNano())
	f.mutex.Lock()
	back := f.lost
	if back || f.back.IsZero() {
		f.back = f.life.Now()
	}
	f.lost = false
	f.mutex.Unlock()
	if back {
		f.log.Emit(event.PlatformBack)
	}
}

// Refresh lists once, beside the watch, to confirm what is in force.
func (f *Follower) Refresh(ctx context.Context) {
	sent := f.life.Now()
	f.metrics.Add(metric.PlatformReads, 1)
	l, err := f.source.List(ctx, config.DeclaredKinds)
	if err != nil {
		f.failed(ctx, err)
		return
	}
	// A full ring is emptied by the duty that applies.
	f.updates.Put(ctx, update{list: &l, sent: sent})
}

// Offer queues a peer's configuration, which was asked for at a time of the
// life's clock.
func (f *Follower) Offer(l api.ObjectList, sent time.Time) {
	if !f.updates.Offer(update{list: &l, sent: sent, peer: true}) {
		f.metrics.Add(metric.ItemsDropped, 1)
	}
}

// Apply is the duty that brings updates into force.
func (f *Follower) Apply(ctx context.Context) error {
	for {
		u, ok := f.updates.Take(ctx)
		if !ok {
			return nil
		}
		f.apply(u)
	}
}

func (f *Follower) apply(u update) {
	f.mutex.Lock()
	changed, stale := f.merge(u)
	var v *config.View
	var bad []config.Problem
	if changed {
		v, bad = config.Build(f.store, f.view.Load(), resource.Decode)
	}
	f.mutex.Unlock()
	if changed {
		f.enforce(v, bad)
	}
	if !stale {
		f.life.Confirmed(u.sent)
	}
	if u.changes != nil {
		f.open()
	}
}

func (f *Follower) open() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.watched {
		f.watched = true
		close(f.ready)
	}
}

// merge reports whether the objects in force changed and whether the update was older than
// them; the follower's mutex is held.
func (f *Follower) merge(u update) (changed, stale bool) {
	expired := f.expire()
	if u.changes != nil {
		n := f.store.Apply(*u.changes)
		f.metrics.Add(metric.ConfigChanges, int64(n))
		if n == 0 && !expired {
			f.advance()
		}
		return n > 0 || expired, false
	}
	before, kept := f.store.Version(), f.store.Retained()
	if !f.store.Replace(f.life.Now(), *u.list) {
		f.log.Emit(event.ConfigStale, zap.Stringer("offered", u.list.Version), zap.Stringer("version", before))
		return expired, true
	}
	if u.peer {
		f.metrics.Add(metric.ConfigFromPeers, 1)
	}
	now := f.store.Version()
	if before > 0 && now.Era() > before.Era() {
		f.metrics.Add(metric.PlatformRestores, 1)
		f.log.Emit(event.EraChanged, zap.Stringer("from", before), zap.Stringer("version", now), zap.Int("kept", f.store.Retained()))
	}
	return expired || now != before || f.store.Retained() != kept || f.view.Load().Models == nil, false
}

// expire drops what stayed in force in spite of the platform for its time; the mutex is held.
func (f *Follower) expire() bool {
	if !f.store.Expire(f.life.Now()) {
		return false
	}
	f.log.Emit(event.KeptExpired, zap.Stringer("version", f.store.Version()))
	return true
}

// advance moves the view's version on past changes of other kinds.
func (f *Follower) advance() {
	v := *f.view.Load()
	v.Version = f.store.Version()
	f.view.Store(&v)
	f.metrics.Set(metric.ConfigVersion, int64(v.Version))
}

func (f *Follower) enforce(v *config.View, bad []config.Problem) {
	for _, p := range bad {
		f.log.Emit(event.ConfigRefused, zap.String("kind", string(p.Key.Kind)), zap.String("name", p.Key.Name), zap.String("detail", p.Detail))
	}
	for _, t := range f.takers {
		t(v)
	}
	f.view.Store(v)
	f.metrics.Set(metric.ConfigVersion, int64(v.Version))
	f.log.Emit(event.ConfigApplied, zap.Stringer("version", v.Version))
}
