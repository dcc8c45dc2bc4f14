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

// Source is the platform as the source of the configuration.
type Source interface {
	List(ctx context.Context, kinds []api.ResourceKind) (api.ObjectList, error)
	Watch(ctx context.Context, from api.Version, wait time.Duration, kinds []api.ResourceKind) (api.ChangeList, error)
}

// ViewFunc is called with every view before it is in force.
type ViewFunc func(v *config.View)

// update is the result of one call, which was made at requestedAt by the clock of
// lifecycle.Tracker. Exactly one of list and changes is set; fromPeer marks the list of a peer.
type update struct {
	list        *api.ObjectList
	changes     *api.ChangeList
	requestedAt time.Time
	fromPeer    bool
}

// ringSize bounds the updates that wait to be applied.
const ringSize = 64

// Follower holds the configuration in force.
type Follower struct {
	source     Source
	lifecycle  *lifecycle.Tracker
	log        *event.Log
	metrics    *metric.Set
	wait       time.Duration
	viewFuncs  []ViewFunc
	updates    *ring.Ring[update]
	view       atomic.Pointer[config.View]
	lastAnswer atomic.Int64

	mutex sync.Mutex
	store *config.Store
	lost  bool
	// answeringSince is when the platform first answered after the start or the last failure.
	answeringSince time.Time
	// ready is closed and watched set once a watch has confirmed the first list.
	ready   chan struct{}
	watched bool
}

// New creates a follower without a configuration. The platform may hold each watch for up to wait
// without a change.
func New(s Source, l *lifecycle.Tracker, e *event.Log, m *metric.Set, wait time.Duration, viewFuncs ...ViewFunc) *Follower {
	f := &Follower{
		source: s, lifecycle: l, log: e, metrics: m, wait: wait, viewFuncs: viewFuncs,
		updates: ring.New[update](ringSize), store: config.New(), ready: make(chan struct{}),
	}
	f.view.Store(&config.View{})
	return f
}

// View returns the configuration in force. A view never changes after it is returned.
func (f *Follower) View() *config.View {
	return f.view.Load()
}

// Ready returns a channel that is closed once a watch from the first list has been answered, so
// that a VM which has just started never admits requests based on a stale list alone.
func (f *Follower) Ready() <-chan struct{} {
	return f.ready
}

// List returns the configuration in force as a list for a peer.
func (f *Follower) List() api.ObjectList {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.store.List(f.lifecycle.Now())
}

// Retained counts the objects and removals that are in force although the restored platform lacks
// them.
func (f *Follower) Retained() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.store.Retained()
}

// TimeSinceAnswer returns the time since the platform last answered the Watch duty.
func (f *Follower) TimeSinceAnswer() time.Duration {
	return time.Since(time.Unix(0, f.lastAnswer.Load()))
}

// AnsweringFor returns for how long the platform has answered without a failure. It is zero while
// the platform does not answer.
func (f *Follower) AnsweringFor() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.lost || f.answeringSince.IsZero() {
		return 0
	}
	return f.lifecycle.Now().Sub(f.answeringSince)
}

// Watch is the duty that lists and watches the configuration on the platform and queues the
// results.
func (f *Follower) Watch(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		u, err := f.fetch(ctx)
		if err != nil {
			failures++
			f.recordFailure(ctx, err)
			duty.Sleep(ctx, backoff(failures))
			continue
		}
		failures = 0
		f.recordAnswer()
		if !f.updates.Put(ctx, u) {
			return nil
		}
	}
	return nil
}

// Bounds of the wait after a failed call.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backoff returns a wait that doubles with each failure up to maxBackoff. It is randomized, so that
// entry VMs do not all retry at the same time.
func backoff(failures int) time.Duration {
	d := min(minBackoff<<min(failures, 6), maxBackoff)
	return d/2 + rand.N(d/2)
}

// fetch watches for changes after the known version. It lists if there is none, or if the platform
// no longer has the changes after it.
func (f *Follower) fetch(ctx context.Context) (update, error) {
	sent := f.lifecycle.Now()
	from := f.version()
	if from > 0 {
		f.metrics.Add(metric.PlatformWatches, 1)
		l, err := f.source.Watch(ctx, from, f.watchWait(), config.DeclaredKinds)
		if !fault.Has(err, fault.WatchTooOld) {
			return update{changes: &l, requestedAt: sent}, err
		}
		f.log.Emit(event.WatchRestarted, zap.Stringer("version", from))
	}
	f.metrics.Add(metric.PlatformReads, 1)
	l, err := f.source.List(ctx, config.DeclaredKinds)
	return update{list: &l, requestedAt: sent}, err
}

// watchWait returns how long the next watch may wait. The first watch does not wait, as it only
// confirms the list.
func (f *Follower) watchWait() time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.watched {
		return 0
	}
	return f.wait
}

// version returns the version of the store. An update in the queue may be newer; the next watch
// then returns its changes again, and the store drops them.
func (f *Follower) version() api.Version {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.store.Version()
}

// recordFailure counts a failed call, unless the context has ended, and logs the first one in a
// row.
func (f *Follower) recordFailure(ctx context.Context, err error) {
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

// recordAnswer records that the platform answers, and logs the first answer after a failure.
func (f *Follower) recordAnswer() {
	f.lastAnswer.Store(time.Now().UnixNano())
	f.mutex.Lock()
	back := f.lost
	if back || f.answeringSince.IsZero() {
		f.answeringSince = f.lifecycle.Now()
	}
	f.lost = false
	f.mutex.Unlock()
	if back {
		f.log.Emit(event.PlatformBack)
	}
}

// Refresh lists the configuration once, concurrently with the watch, to confirm the one in force.
func (f *Follower) Refresh(ctx context.Context) {
	sent := f.lifecycle.Now()
	f.metrics.Add(metric.PlatformReads, 1)
	l, err := f.source.List(ctx, config.DeclaredKinds)
	if err != nil {
		f.recordFailure(ctx, err)
		return
	}
	// If the ring is full, Put waits until Apply has taken an update.
	f.updates.Put(ctx, update{list: &l, requestedAt: sent})
}

// OfferFromPeer queues the configuration of a peer, which was requested at sent by the clock of
// lifecycle.Tracker. It drops the configuration if the queue is full.
func (f *Follower) OfferFromPeer(l api.ObjectList, sent time.Time) {
	if !f.updates.Offer(update{list: &l, requestedAt: sent, fromPeer: true}) {
		f.metrics.Add(metric.ItemsDropped, 1)
	}
}

// Apply is the duty that brings queued updates into force.
func (f *Follower) Apply(ctx context.Context) error {
	for {
		u, ok := f.updates.Take(ctx)
		if !ok {
			return nil
		}
		f.apply(u)
	}
}

// apply brings one update into force. An update that is not stale confirms the configuration as of
// the time of its request.
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
		f.publish(v, bad)
	}
	if !stale {
		f.lifecycle.Confirm(u.requestedAt)
	}
	if u.changes != nil {
		f.markReady()
	}
}

// markReady closes the ready channel on the first call.
func (f *Follower) markReady() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.watched {
		f.watched = true
		close(f.ready)
	}
}

// merge applies an update to the store. It reports whether the objects in force have changed and
// whether the update is older than them. The caller holds the mutex.
func (f *Follower) merge(u update) (changed, stale bool) {
	expired := f.expire()
	if u.changes != nil {
		n := f.store.Apply(*u.changes)
		f.metrics.Add(metric.ConfigChanges, int64(n))
		if n == 0 && !expired {
			f.advanceVersion()
		}
		return n > 0 || expired, false
	}
	before, retained := f.store.Version(), f.store.Retained()
	if !f.store.Replace(f.lifecycle.Now(), *u.list) {
		f.log.Emit(event.ConfigStale, zap.Stringer("offered", u.list.Version), zap.Stringer("version", before))
		return expired, true
	}
	if u.fromPeer {
		f.metrics.Add(metric.ConfigFromPeers, 1)
	}
	now := f.store.Version()
	if before > 0 && now.Era() > before.Era() {
		f.metrics.Add(metric.PlatformRestores, 1)
		f.log.Emit(event.EraChanged, zap.Stringer("from", before), zap.Stringer("version", now), zap.Int("kept", f.store.Retained()))
	}
	return expired || now != before || f.store.Retained() != retained || f.view.Load().Models == nil, false
}

// expire drops the retained objects whose retention time is over and reports whether that changes
// the objects in force. The caller holds the mutex.
func (f *Follower) expire() bool {
	if !f.store.Expire(f.lifecycle.Now()) {
		return false
	}
	f.log.Emit(event.KeptExpired, zap.Stringer("version", f.store.Version()))
	return true
}

// advanceVersion sets the version of the view to that of the store after changes of other kinds.
func (f *Follower) advanceVersion() {
	v := *f.view.Load()
	v.Version = f.store.Version()
	f.view.Store(&v)
	f.metrics.Set(metric.ConfigVersion, int64(v.Version))
}

// publish passes a view to the view functions and then brings it into force. It logs the objects
// that could not be decoded.
func (f *Follower) publish(v *config.View, bad []config.Problem) {
	for _, p := range bad {
		f.log.Emit(event.ConfigRefused, zap.String("kind", string(p.Key.Kind)), zap.String("name", p.Key.Name), zap.String("detail", p.Detail))
	}
	for _, t := range f.viewFuncs {
		t(v)
	}
	f.view.Store(v)
	f.metrics.Set(metric.ConfigVersion, int64(v.Version))
	f.log.Emit(event.ConfigApplied, zap.Stringer("version", v.Version))
}
