package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

// Bounds of the wait after a failed call; the last is below the time in which
// a change has to be in force.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// batchDelay is the pause after a change: servers that leave together say so
// within some ms, and each answer to a watch is a call.
const batchDelay = 40 * time.Millisecond

// longBackoff is the pause after a failed call while others ask as well: they
// tell of the platform's return, and long outages are what calls add up in.
const longBackoff = 5 * time.Second

// relayPollInterval is the pause between looks whether peers still bring changes.
const relayPollInterval = 250 * time.Millisecond

// Timing bounds the calls of a mirror.
type Timing struct {
	// Wait is the longest time of one watch: a watch that is silent for longer
	// has lost its events.
	Wait time.Duration
	// Slack is what an answer may take beyond that.
	Slack time.Duration
}

// Parts are what a mirror works with.
type Parts[T any] struct {
	// Name is the kind, for logs.
	Name    string
	Source  port.Source[T]
	Log     *event.Log
	Metrics *metric.Set
	Timing  Timing
	// ListDelay is how long the first list is left to peers, which may bring what it
	// would.
	ListDelay time.Duration
	// OnSnapshot is told of every snapshot that differs from the one before; Settled
	// is set on those of peers alone. Calls don't overlap.
	OnSnapshot func(s replica.Snapshot[T])
	// HasRelay reports whether a peer that follows the platform brings what
	// changes, so that it need not be asked.
	HasRelay func() bool
	// BacksOff reports whether others ask the platform as well, and would tell, so
	// that after so many failed calls in a row a long pause does.
	BacksOff func(failures int) bool
	// LostChanged is told when the platform is lost and when it is back.
	LostChanged func(away bool)
}

// Mirror follows one kind.
type Mirror[T any] struct {
	Parts[T]

	// direct is set while the platform itself answers, unset while a peer guides.
	direct atomic.Bool
	// refresh asks for a list of the platform although a peer guides.
	refresh atomic.Bool

	mutex sync.Mutex
	store *replica.Store[T]
	// lost is set while the platform does not answer; it has since a time.
	lost          bool
	settlingSince time.Time
}

// New makes a mirror that knows nothing.
func New[T any](p Parts[T]) *Mirror[T] {
	return &Mirror[T]{Parts: p, store: replica.New[T](), lost: true}
}

// Run is the duty that asks the platform.
func (m *Mirror[T]) Run(ctx context.Context) error {
	m.awaitPeers(ctx)
	list, failures, tooOld := true, 0, 0
	for ctx.Err() == nil {
		if m.hasRelay() && !m.refresh.Swap(false) {
			list = true
			m.direct.Store(false)
			m.recordSuccess()
			duty.Sleep(ctx, relayPollInterval)
			continue
		}
		var err error
		if list {
			err = m.list(ctx)
		} else {
			err = m.watch(ctx)
		}
		if err == nil {
			if !list {
				tooOld = 0
			}
			list, failures = false, 0
			m.direct.Store(true)
			m.recordSuccess()
			continue
		}
		m.direct.Store(false)
		// After any failure the history may be lost without a word.
		list = true
		if fault.Has(err, fault.WatchTooOld) {
			m.Log.Emit(event.WatchRestarted, zap.String("kind", m.Name), zap.Stringer("version", m.At()))
			tooOld++
			if tooOld > 1 {
				// A store that forgets at once is not asked at once again.
				duty.Sleep(ctx, backoff(tooOld))
			}
			continue
		}
		failures++
		m.recordFailure(ctx, err)
		m.wait(ctx, m.retryDelay(failures))
	}
	return nil
}

// hasRelay reports whether a peer brings what changes; who knows nothing yet asks the
// platform whatever others do.
func (m *Mirror[T]) hasRelay() bool {
	return m.At() > 0 && m.HasRelay()
}

// wait waits, but no longer than until a peer guides: what it brings is taken
// as that of a platform that is back.
func (m *Mirror[T]) wait(ctx context.Context, d time.Duration) {
	waitUntil(ctx, d, relayPollInterval, m.hasRelay)
}

// peerPollInterval is the pause between looks whether a peer brought what is awaited.
const peerPollInterval = 20 * time.Millisecond

// awaitPeers waits for what peers bring before the first list.
func (m *Mirror[T]) awaitPeers(ctx context.Context) {
	waitUntil(ctx, m.ListDelay, peerPollInterval, func() bool { return m.At() > 0 })
}

// waitUntil looks whether something is so at each poll, for so long at most.
func waitUntil(ctx context.Context, d, poll time.Duration, done func() bool) {
	for end := time.Now().Add(d); time.Now().Before(end) && !done(); {
		if !duty.Sleep(ctx, min(poll, time.Until(end))) {
			return
		}
	}
}

// retryDelay is the wait after failed calls.
func (m *Mirror[T]) retryDelay(failures int) time.Duration {
	if m.BacksOff(failures) {
		return longBackoff/2 + rand.N(longBackoff/2)
	}
	return backoff(failures)
}

// backoff doubles with each failure and is spread, so that entry VMs don't
// come back together.
func backoff(failures int) time.Duration {
	d := min(minBackoff<<min(failures-1, 6), maxBackoff)
	return d/2 + rand.N(d/2)
}

func (m *Mirror[T]) list(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, m.Timing.Wait)
	defer cancel()
	m.Metrics.Add(metric.PlatformReads, 1)
	s, err := m.Source.List(c)
	if err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if s.At < m.store.At() {
		m.Log.Emit(event.ConfigStale, zap.String("kind", m.Name), zap.Stringer("offered", s.At), zap.Stringer("version", m.store.At()))
		return nil
	}
	before := m.store.ChangedAt()
	known := m.store.At()
	m.store.Replace(s)
	m.checkEra(known)
	if m.store.ChangedAt() != before {
		m.OnSnapshot(m.store.Snapshot())
	}
	return nil
}

func (m *Mirror[T]) watch(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, m.Timing.Wait+m.Timing.Slack)
	defer cancel()
	m.Metrics.Add(metric.PlatformWatches, 1)
	x, err := m.Source.Watch(c, m.At(), m.Timing.Wait)
	if err != nil {
		return err
	}
	if m.apply(x) {
		duty.Sleep(ctx, batchDelay)
	}
	return nil
}

// apply reports whether a watch brought anything new.
func (m *Mirror[T]) apply(x replica.Changes[T]) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.store.Apply(x) == 0 {
		return false
	}
	m.OnSnapshot(m.store.Snapshot())
	return true
}

// checkEra notes that the platform came back from a copy, where what is known now is of a later
// era than what was known before; the mutex is held.
func (m *Mirror[T]) checkEra(known api.Version) {
	now := m.store.At()
	if known == 0 || now.Era() == known.Era() {
		return
	}
	// What is missing now may be what was written since the copy.
	m.settlingSince = time.Now()
	m.Metrics.Add(metric.PlatformRestores, 1)
	m.Log.Emit(event.EraChanged, zap.String("kind", m.Name), zap.Stringer("from", known), zap.Stringer("version", now))
}

// Merge takes what a peer has passed on.
func (m *Mirror[T]) Merge(d replica.Delta[T]) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.store.At()
	if !m.store.Merge(d) {
		return
	}
	m.checkEra(known)
	m.Metrics.Add(metric.ConfigFromPeers, 1)
	v := m.store.Snapshot()
	v.Settled = d.Settled
	m.OnSnapshot(v)
}

// Refresh asks the platform once although a peer guides: what the peer has did
// not come through, as a large configuration to many over a narrow link.
func (m *Mirror[T]) Refresh() {
	m.refresh.Store(true)
}

// At is the version up to which every change is known; zero knows nothing.
func (m *Mirror[T]) At() api.Version {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store.At()
}

// Lost reports whether the platform did not answer last.
func (m *Mirror[T]) Lost() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.lost
}

// Direct reports whether the platform itself has answered last: neither is it
// lost, nor is it left to a peer.
func (m *Mirror[T]) Direct() bool {
	return m.direct.Load()
}

// settleTime is how long the platform has to have answered before what is
// missing counts as gone: entries that lapsed in an outage are back within two
// seconds.
const settleTime = 2500 * time.Millisecond

// Since gives a peer what it has missed after a version.
func (m *Mirror[T]) Since(from api.Version) replica.Delta[T] {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	d := m.store.Since(from)
	d.Settled = m.settled()
	return d
}

// Settled reports whether the platform has answered for so long that nothing
// is missing for an outage.
func (m *Mirror[T]) Settled() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.settled()
}

// settled is Settled under the mutex.
func (m *Mirror[T]) settled() bool {
	return !m.lost && time.Since(m.settlingSince) >= settleTime
}

// ChangedAt is the version at which an object last changed, as far as known.
func (m *Mirror[T]) ChangedAt() api.Version {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store.ChangedAt()
}

func (m *Mirror[T]) recordSuccess() {
	if m.setLost(false) {
		m.Log.Emit(event.PlatformBack, zap.String("kind", m.Name))
	}
}

func (m *Mirror[T]) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	m.Metrics.Add(metric.PlatformFailures, 1)
	if m.setLost(true) {
		m.Log.Emit(event.PlatformLost, zap.String("kind", m.Name), zap.Error(err))
	}
}

// setLost reports whether the word on the platform is new.
func (m *Mirror[T]) setLost(lost bool) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.lost == lost {
		return false
	}
	m.lost = lost
	m.settlingSince = time.Now()
	m.LostChanged(lost)
	return true
}
