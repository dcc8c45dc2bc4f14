package mirror

import (
	"context"
	"errors"
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

// Bounds of the wait after a failed call. The maximum is shorter than the time in
// which a change has to be in force.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// batchDelay is the pause between a change and the next watch. Servers that leave
// together announce it within a few ms, and without the pause each of these changes
// would cost a call.
const batchDelay = 40 * time.Millisecond

// minLongBackoff and longBackoff bound the wait after a failed call while peers call the platform
// as well. They report when it answers again, and in a long outage the calls of all
// entry VMs add up.
const (
	minLongBackoff = 4 * time.Second
	longBackoff    = 5 * time.Second
)

// overdueSlack is how long after the end of its wait the answer to a watch is overdue. It is shorter
// than Timing.Slack: servers announce their end 1.5 s ahead, and what an overdue answer causes is
// harmless if the answer still comes.
const overdueSlack = 100 * time.Millisecond

// takeoverWait is the wait of the first watch after a peer relayed changes.
const takeoverWait = 20 * time.Millisecond

// relayPollInterval is the time between checks whether a peer relays changes.
const relayPollInterval = 250 * time.Millisecond

// Timing bounds the calls of a mirror.
type Timing struct {
	// Wait is how long the platform may hold one watch without a change. A watch that
	// is silent for longer has lost its events. It also bounds a list.
	Wait time.Duration
	// Slack is the extra time that the answer to a watch may take.
	Slack time.Duration
}

// Options are the dependencies and settings of a Mirror.
type Options[T any] struct {
	// Name is the name of the kind in logs.
	Name    string
	Source  port.Source[T]
	Log     *event.Log
	Metrics *metric.Set
	Timing  Timing
	// ListDelay is how long the first list waits for peers, whose delta may make it
	// unnecessary.
	ListDelay time.Duration
	// OnSnapshot is called with every snapshot that differs from the one before, and OnUpdate
	// with what has changed; one of them is set. Kinds with many objects are given updates,
	// since a snapshot costs time for each object. Only those from peers may have Settled set.
	// Calls do not overlap.
	OnSnapshot func(s replica.Snapshot[T])
	OnUpdate   func(u replica.Update[T])
	// HasRelay reports whether a peer that follows the platform relays its changes,
	// so that the mirror need not call the platform.
	HasRelay func() bool
	// BacksOff reports whether, after the given number of failed calls in a row, the
	// mirror waits for up to longBackoff, since peers call the platform as well and
	// report when it answers.
	BacksOff func(failures int) bool
	// ReadsLongLists reports whether this entry VM reads lists of several pages before peers have
	// sent the objects, as hubs do.
	ReadsLongLists func() bool
	// LostChanged is called when the platform is lost and when it answers again.
	LostChanged func(lost bool)
	// DirectChanged is called when Direct changes; nil for none.
	DirectChanged func()
}

// Mirror replicates one kind of the platform's objects.
type Mirror[T any] struct {
	Options[T]

	// direct is set while the platform answers, and unset while a peer relays changes.
	direct atomic.Bool
	// answerDue is when the answer to the watch in progress is due at the latest, in ns since 1970;
	// zero while no watch is in progress. failed is set while the last call failed.
	answerDue atomic.Int64
	failed    atomic.Bool
	// failures counts the failed calls in a row.
	failures atomic.Int64
	// answeredAt is when the platform last answered, in ns since 1970.
	answeredAt atomic.Int64
	// wake ends a pause while a peer relays changes.
	wake chan struct{}
	// refresh requests one list from the platform even though a peer relays changes.
	refresh atomic.Bool

	mutex sync.Mutex
	store *replica.Store[T]
	// lost is set while the platform does not answer.
	lost bool
	// settlingSince is when lost last changed or an era last began, from which
	// settleTime counts.
	settlingSince time.Time
}

// New creates a mirror without objects, at version zero, that counts as lost.
func New[T any](p Options[T]) *Mirror[T] {
	return &Mirror[T]{Options: p, store: replica.New[T](), lost: true, wake: make(chan struct{}, 1)}
}

// progress is how a mirror continues to follow the platform.
type progress struct {
	// list is set while the next call is a list, and wait is the wait of the next watch.
	list bool
	wait time.Duration
	// failures and tooOld count the failed calls, and the lost histories, in a row.
	failures, tooOld int
}

// followPeer continues after a peer has sent the objects: they are complete up to their version, so
// that a watch can continue there. The first one ends at once, to learn whether the platform
// answers.
func (p *progress) followPeer() {
	p.list, p.wait = false, takeoverWait
}

// Run lists and watches the platform until the context ends.
func (m *Mirror[T]) Run(ctx context.Context) error {
	m.awaitPeers(ctx)
	p := progress{list: true, wait: m.Timing.Wait}
	for ctx.Err() == nil {
		refresh := m.refresh.Swap(false)
		if m.hasRelay() && !refresh {
			p.followPeer()
			m.setDirect(false)
			m.failed.Store(false)
			m.recordSuccess()
			m.pause(ctx)
			continue
		}
		p.list = p.list || refresh
		err := m.call(ctx, p)
		p.wait = m.Timing.Wait
		switch {
		case errors.Is(err, errSuperseded):
			p.followPeer()
		case err == nil:
			if !p.list {
				p.tooOld = 0
			}
			p.list, p.failures = false, 0
			m.answeredAt.Store(time.Now().UnixNano())
			m.failures.Store(0)
			m.failed.Store(false)
			m.recordSuccess()
			m.setDirect(true)
		default:
			m.setDirect(false)
			// After any failure the platform may have dropped changes without reporting it.
			p.list = true
			m.waitAfter(ctx, &p, err)
		}
	}
	return nil
}

// call makes the next call of the platform.
func (m *Mirror[T]) call(ctx context.Context, p progress) error {
	if p.list {
		return m.list(ctx)
	}
	return m.watch(ctx, p.wait)
}

// waitAfter waits after a failed call until the next one.
func (m *Mirror[T]) waitAfter(ctx context.Context, p *progress, err error) {
	if !fault.Has(err, fault.WatchTooOld) {
		p.failures++
		m.failures.Store(int64(p.failures))
		m.failed.Store(true)
		m.recordFailure(ctx, err)
		m.wait(ctx, m.retryDelay(p.failures))
		return
	}
	m.Log.Emit(event.WatchRestarted, zap.String("kind", m.Name), zap.Stringer("version", m.At()))
	p.tooOld++
	if p.tooOld > 1 {
		// A platform that drops its history at once must not be listed in a tight loop.
		duty.Sleep(ctx, backoff(p.tooOld))
	}
}

// setDirect records whether the platform answers this mirror itself.
func (m *Mirror[T]) setDirect(is bool) {
	if m.direct.Swap(is) != is && m.DirectChanged != nil {
		m.DirectChanged()
	}
}

// pause waits until it is time to check again whether a peer relays changes, or until Wake is called.
func (m *Mirror[T]) pause(ctx context.Context) {
	t := time.NewTimer(relayPollInterval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-m.wake:
	case <-ctx.Done():
	}
}

// Wake makes the mirror check at once whether a peer relays changes.
func (m *Mirror[T]) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Unanswered reports whether the platform no longer answers: a call has failed, and its repeat as well or no
// answer has come for as long as the answer to a watch may take.
func (m *Mirror[T]) Unanswered() bool {
	age := time.Duration(time.Now().UnixNano() - m.answeredAt.Load())
	return m.failed.Load() && (m.failures.Load() > 1 || age >= m.Timing.Wait+m.Timing.Slack)
}

// hasRelay reports whether a peer relays changes. It is false for a mirror without
// objects, which calls the platform regardless of its peers.
func (m *Mirror[T]) hasRelay() bool {
	return m.At() > 0 && m.HasRelay()
}

// wait waits for a time that ends early once a peer relays changes: the platform then
// counts as answering again.
func (m *Mirror[T]) wait(ctx context.Context, d time.Duration) {
	waitUntil(ctx, d, relayPollInterval, m.hasRelay)
}

// peerPollInterval is the time between checks whether a peer has sent the first objects.
const peerPollInterval = 20 * time.Millisecond

// awaitPeers waits up to ListDelay for objects from peers before the first list.
func (m *Mirror[T]) awaitPeers(ctx context.Context) {
	waitUntil(ctx, m.ListDelay, peerPollInterval, func() bool { return m.At() > 0 })
}

// waitUntil polls a condition until it holds, for at most d.
func waitUntil(ctx context.Context, d, poll time.Duration, done func() bool) {
	for end := time.Now().Add(d); time.Now().Before(end) && !done(); {
		if !duty.Sleep(ctx, min(poll, time.Until(end))) {
			return
		}
	}
}

// retryDelay returns the wait after a number of failed calls in a row.
func (m *Mirror[T]) retryDelay(failures int) time.Duration {
	if m.BacksOff(failures) {
		return minLongBackoff + rand.N(longBackoff-minLongBackoff)
	}
	return backoff(failures)
}

// backoff returns a wait that doubles with each failure up to maxBackoff. It is
// randomized, so that entry VMs do not all retry at the same time.
func backoff(failures int) time.Duration {
	d := min(minBackoff<<min(failures-1, 6), maxBackoff)
	return d/2 + rand.N(d/2)
}

// list replaces the objects by those of the platform. It ignores a list that is older
// than the known version.
func (m *Mirror[T]) list(ctx context.Context) error {
	m.Metrics.Add(metric.PlatformReads, 1)
	s, err := m.read(ctx)
	if err != nil {
		return err
	}
	if s, err = m.catchUp(ctx, s); err != nil {
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
		m.publish(false)
	}
	return nil
}

const (
	// catchUpWait is the wait of a watch for changes that have been made.
	catchUpWait = time.Millisecond
	// maxCatchUps bounds the watches after a list, where one returns only a part of the changes.
	maxCatchUps = 8
)

// errTorn is returned by a list that was overtaken by changes.
var errTorn = fault.New(fault.BadAnswer, "platform does not return the changes made while a list was read")

// catchUp makes the snapshot of a list that took several calls one of a single version.
func (m *Mirror[T]) catchUp(ctx context.Context, s replica.Snapshot[T]) (replica.Snapshot[T], error) {
	c, cancel := context.WithTimeout(ctx, m.Timing.Wait)
	defer cancel()
	for n := 0; s.Torn(); n++ {
		if n == maxCatchUps {
			return s, errTorn
		}
		m.Metrics.Add(metric.PlatformWatches, 1)
		x, err := m.Source.Watch(c, s.At, catchUpWait)
		if err != nil {
			return s, err
		}
		m.Log.Emit(event.ListCaughtUp, zap.String("kind", m.Name), zap.Stringer("version", s.At), zap.Stringer("through", s.Through), zap.Int("changes", len(x.Items)))
		s = s.CatchUp(x)
	}
	return s, nil
}

// errSuperseded is returned by a list that was not needed any more, since peers have sent the
// objects in the meantime.
var errSuperseded = fault.New(fault.NotInForce, "peers sent the objects before the list was read")

// read lists the objects of the platform. While there are none yet, it reads a list of several
// pages only if no peer sends the objects: when all entry VMs of a large fleet start at once, the
// calls of all of them would be more than the platform takes.
func (m *Mirror[T]) read(ctx context.Context) (replica.Snapshot[T], error) {
	p, paged := m.Source.(port.PagedSource[T])
	if !paged || m.At() > 0 {
		c, cancel := context.WithTimeout(ctx, m.Timing.Wait)
		defer cancel()
		return m.Source.List(c)
	}
	c, cancel := context.WithTimeout(ctx, m.Timing.Wait+maxPeerWait)
	defer cancel()
	pages := 1
	s, complete, err := p.ListWhile(c, func() bool {
		pages++
		return pages <= shortListPages || m.awaitObjects(c)
	})
	if err == nil && !complete {
		err = errSuperseded
	}
	return s, err
}

// shortListPages is the number of pages that an entry VM reads without waiting for peers.
const shortListPages = 3

// maxPeerWait is how long an entry VM without objects waits for peers to send those of a long
// list: the hubs are known after 1.5 s, and have read the list and sent it on some seconds later.
const maxPeerWait = 5 * time.Second

// awaitObjects waits until peers have sent the objects, and reports false then, or until this
// entry VM is to read them itself.
func (m *Mirror[T]) awaitObjects(ctx context.Context) bool {
	waitUntil(ctx, maxPeerWait, peerPollInterval, func() bool { return m.At() > 0 || m.ReadsLongLists() })
	return m.At() == 0
}

// publish passes on what has changed in the store. The caller holds the mutex.
func (m *Mirror[T]) publish(settled bool) {
	u := m.store.Update()
	if m.OnUpdate != nil {
		u.Settled = settled
		m.OnUpdate(u)
		return
	}
	s := m.store.Snapshot()
	s.Settled = settled
	m.OnSnapshot(s)
}

// watch waits for the changes after the known version and applies them.
func (m *Mirror[T]) watch(ctx context.Context, wait time.Duration) error {
	c, cancel := context.WithTimeout(ctx, wait+m.Timing.Slack)
	defer cancel()
	m.Metrics.Add(metric.PlatformWatches, 1)
	m.answerDue.Store(time.Now().Add(wait + overdueSlack).UnixNano())
	defer m.answerDue.Store(0)
	x, err := m.Source.Watch(c, m.At(), wait)
	if err != nil {
		return err
	}
	if m.apply(x) {
		duty.Sleep(ctx, batchDelay)
	}
	return nil
}

// apply applies the changes of a watch and reports whether any was new.
func (m *Mirror[T]) apply(x replica.Changes[T]) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.store.Apply(x) == 0 {
		return false
	}
	m.publish(false)
	return true
}

// checkEra records that the platform was restored from a backup if the store is now in another
// era than the version that was known before. The caller holds the mutex.
func (m *Mirror[T]) checkEra(known api.Version) {
	now := m.store.At()
	if known == 0 || now.Era() == known.Era() {
		return
	}
	// Objects that are missing now may have been written after the backup.
	m.settlingSince = time.Now()
	m.Metrics.Add(metric.PlatformRestores, 1)
	m.Log.Emit(event.EraChanged, zap.String("kind", m.Name), zap.Stringer("from", known), zap.Stringer("version", now))
}

// Merge applies a delta from a peer.
func (m *Mirror[T]) Merge(d replica.Delta[T]) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.store.At()
	if !m.store.Merge(d) {
		return
	}
	m.checkEra(known)
	m.Metrics.Add(metric.ConfigFromPeers, 1)
	m.publish(d.Settled)
}

// Refresh makes the mirror list the platform once even though a peer relays changes. It is
// for a fetch from the peer that failed, such as that of a large configuration which many
// entry VMs fetch over a link with little bandwidth.
func (m *Mirror[T]) Refresh() {
	m.refresh.Store(true)
}

// At returns the version up to which every change is known, zero without any objects.
func (m *Mirror[T]) At() api.Version {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store.At()
}

// Lost reports whether the platform does not answer; it is false while a peer relays its
// changes.
func (m *Mirror[T]) Lost() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.lost
}

// Direct reports whether the platform answered the last call and no peer relays its changes.
func (m *Mirror[T]) Direct() bool {
	return m.direct.Load()
}

// Overdue reports whether the platform has not answered this entry VM in time: the answer to the
// watch in progress is overdue, or the last call failed.
func (m *Mirror[T]) Overdue() bool {
	d := m.answerDue.Load()
	return m.failed.Load() || d > 0 && time.Now().UnixNano() > d
}

// settleTime is how long the platform must have answered before missing objects count as
// removed. Entries that expired in an outage are registered again within two seconds.
const settleTime = 2500 * time.Millisecond

// Since returns the delta for a peer that knows all changes up to a version.
func (m *Mirror[T]) Since(from api.Version) replica.Delta[T] {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	d := m.store.Since(from)
	d.Settled = m.settled()
	return d
}

// Settled reports whether the platform has answered for settleTime, so that no object is
// missing because of an outage or a restore.
func (m *Mirror[T]) Settled() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.settled()
}

// settled implements Settled; the caller holds the mutex.
func (m *Mirror[T]) settled() bool {
	return !m.lost && time.Since(m.settlingSince) >= settleTime
}

// ChangedAt returns the version at which an object last changed, as far as known.
func (m *Mirror[T]) ChangedAt() api.Version {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.store.ChangedAt()
}

// recordSuccess records that the platform answers, itself or through a peer.
func (m *Mirror[T]) recordSuccess() {
	if m.setLost(false) {
		m.Log.Emit(event.PlatformBack, zap.String("kind", m.Name))
	}
}

// recordFailure counts a failed call, unless the context has ended, and records that the
// platform is lost.
func (m *Mirror[T]) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	m.Metrics.Add(metric.PlatformFailures, 1)
	if m.setLost(true) {
		m.Log.Emit(event.PlatformLost, zap.String("kind", m.Name), zap.Error(err))
	}
}

// setLost records whether the platform is lost and reports whether that has changed.
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
