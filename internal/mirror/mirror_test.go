package mirror_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/mirror"
)

// store is a platform with one object, and the troubles that it may have.
type store struct {
	mutex   sync.Mutex
	at      api.Version
	value   string
	lists   int
	watches int
	// mute watches never answer, lost ones have no history, down ones fail.
	mute, lost, down bool
}

func (s *store) write(v string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at++
	s.value = v
}

// fail makes every call fail, or answers again.
func (s *store) fail(on bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = on
}

func (s *store) object() replica.Object[string] {
	return replica.Object[string]{Name: "a", Version: s.at, Value: s.value}
}

func (s *store) List(context.Context) (replica.Snapshot[string], error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lists++
	if s.down {
		return replica.Snapshot[string]{}, fault.New(fault.PlatformDown, "down")
	}
	return replica.Snapshot[string]{At: s.at, Items: []replica.Object[string]{s.object()}}, nil
}

func (s *store) Watch(ctx context.Context, from api.Version, wait time.Duration) (replica.Changes[string], error) {
	s.mutex.Lock()
	s.watches++
	mute, lost, down := s.mute, s.lost, s.down
	s.mutex.Unlock()
	switch {
	case down:
		return replica.Changes[string]{}, fault.New(fault.PlatformDown, "down")
	case lost:
		return replica.Changes[string]{}, fault.New(fault.WatchTooOld, "forgotten")
	case mute:
		<-ctx.Done()
		return replica.Changes[string]{}, ctx.Err()
	}
	for end := time.Now().Add(wait); ctx.Err() == nil && time.Now().Before(end); duty.Sleep(ctx, 10*time.Millisecond) {
		s.mutex.Lock()
		at, o := s.at, s.object()
		s.mutex.Unlock()
		if at > from {
			return replica.Changes[string]{At: at, Items: []replica.Change[string]{{Object: o}}}, ctx.Err()
		}
	}
	return replica.Changes[string]{At: from}, ctx.Err()
}

// bed is a mirror of a store.
type bed struct {
	*mirror.Mirror[string]
	store  *store
	mutex  sync.Mutex
	taken  []string
	guided bool
	// patient makes it wait long after a failed call.
	patient bool
}

func newBed(t *testing.T) *bed {
	t.Helper()
	return newDeferredBed(t, 0)
}

// newDeferredBed makes a bed whose mirror leaves the first list to peers for a while.
func newDeferredBed(t *testing.T, d time.Duration) *bed {
	t.Helper()
	b := &bed{store: &store{at: 1, value: "v1"}}
	b.Mirror = mirror.New(mirror.Parts[string]{
		Name: "kind", Source: b.store, Log: event.Discard(), Metrics: metric.New(),
		Timing: mirror.Timing{Wait: time.Second, Slack: 400 * time.Millisecond}, ListDelay: d,
		HasRelay: func() bool {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			return b.guided
		},
		OnSnapshot: func(s replica.Snapshot[string]) {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			b.taken = append(b.taken, s.Items[0].Value)
		},
		BacksOff: func(int) bool {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			return b.patient
		},
		LostChanged: func(bool) {},
	})
	g, end := duty.New(context.Background())
	t.Cleanup(end)
	g.Go(b.Run)
	return b
}

// guide makes a peer guide, or no longer.
func (b *bed) guide(on bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.guided = on
}

func (b *bed) last() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.taken) == 0 {
		return ""
	}
	return b.taken[len(b.taken)-1]
}

// In each trouble a change is in force within the 2 s that operators give.
func TestChangeIsInForceInTime(t *testing.T) {
	tests := []struct {
		name    string
		trouble func(s *store)
	}{
		{"all well", func(*store) {}},
		{"watch falls silent", func(s *store) { s.mute = true }},
		{"history forgotten at once, again and again", func(s *store) { s.lost = true }},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBed(t)
				time.Sleep(100 * time.Millisecond)
				b.store.mutex.Lock()
				c.trouble(b.store)
				b.store.mutex.Unlock()
				time.Sleep(1100 * time.Millisecond)
				b.store.write("v2")
				time.Sleep(1900 * time.Millisecond)
				if got := b.last(); got != "v2" {
					t.Errorf("1.9 s after the change: got %q, want v2", got)
				}
			})
		})
	}
}

func TestOutageIsToldAndPeersBridgeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		time.Sleep(100 * time.Millisecond)
		if b.Lost() {
			t.Error("lost while all is well: got true, want false")
		}
		b.store.fail(true)
		time.Sleep(2 * time.Second)
		if !b.Lost() {
			t.Error("lost in an outage: got false, want true")
		}
		b.Merge(replica.Delta[string]{At: 9, Items: []replica.Change[string]{{Object: replica.Object[string]{Name: "a", Version: 9, Value: "v9"}}}})
		if got := b.last(); got != "v9" {
			t.Errorf("after a peer's word: got %q, want v9", got)
		}
		b.store.fail(false)
		time.Sleep(2 * time.Second)
		if got := b.last(); got != "v9" {
			t.Errorf("after an older list: got %q, want v9", got)
		}
		if b.Lost() {
			t.Error("lost after the outage: got true, want false")
		}
	})
}

func TestGuidedMirrorLeavesThePlatformAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		time.Sleep(100 * time.Millisecond)
		b.guide(true)
		time.Sleep(2 * time.Second)
		b.store.mutex.Lock()
		before := b.store.lists + b.store.watches
		b.store.mutex.Unlock()
		b.store.write("v2")
		time.Sleep(10 * time.Second)
		b.store.mutex.Lock()
		got := b.store.lists + b.store.watches
		b.store.mutex.Unlock()
		if got != before {
			t.Errorf("calls while guided: got %d, want none", got-before)
		}
		b.guide(false)
		time.Sleep(400 * time.Millisecond)
		if got := b.last(); got != "v2" {
			t.Errorf("0.4 s after the guide was lost: got %q, want v2", got)
		}
	})
}

// What the guide has but can't pass on is taken from the platform.
func TestGuidedMirrorRefreshes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.guide(true)
		time.Sleep(3 * time.Second)
		b.store.write("v2")
		b.Refresh()
		time.Sleep(400 * time.Millisecond)
		if got := b.last(); got != "v2" {
			t.Errorf("0.4 s after a fetch failed: got %q, want v2", got)
		}
	})
}

// A mirror that knows nothing asks the platform, whoever may guide it later.
func TestGuidedMirrorThatKnowsNothingAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.guide(true)
		b.store.fail(true)
		time.Sleep(time.Second)
		b.store.fail(false)
		time.Sleep(time.Second)
		if got := b.last(); got != "v1" {
			t.Errorf("a second after the platform is back: got %q, want v1", got)
		}
	})
}

// Where the first list is left to peers, the platform is not asked for what they
// bring, and asked in the end where they bring nothing.
func TestFirstListIsLeftToPeers(t *testing.T) {
	for _, brought := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newDeferredBed(t, 3*time.Second)
			b.guide(true)
			time.Sleep(time.Second)
			if brought {
				b.Merge(replica.Delta[string]{At: 1, Items: []replica.Change[string]{{Object: b.store.object()}}})
			}
			time.Sleep(2500 * time.Millisecond)
			b.store.mutex.Lock()
			got, want := b.store.lists, 1
			b.store.mutex.Unlock()
			if brought {
				want = 0
			}
			if got != want || b.last() != "v1" {
				t.Errorf("brought by a peer %v: got %d lists and %q, want %d and v1", brought, got, b.last(), want)
			}
		})
	}
}

// A mirror that waits long notices at once that a peer has the platform again.
func TestPatienceEndsWithAGuide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		time.Sleep(100 * time.Millisecond)
		b.mutex.Lock()
		b.patient = true
		b.mutex.Unlock()
		b.store.fail(true)
		time.Sleep(1500 * time.Millisecond)
		if !b.Lost() {
			t.Fatal("in an outage: got the platform, want it lost")
		}
		b.guide(true)
		time.Sleep(600 * time.Millisecond)
		if b.Lost() {
			t.Error("0.6 s after a peer guides: got the platform lost, want it back")
		}
	})
}
