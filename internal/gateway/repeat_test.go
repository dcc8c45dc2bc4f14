package gateway_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/gossip"
	"github.com/wardridge/wardridge/internal/fault"
)

// Guards against orders to stop an earlier run that stop the one which its caller has started with the same ID since.
func TestOrdersToStopRunDoNotStopRepeatWithItsID(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
	}{
		{"connections of orders are closed", fault.New(fault.OutcomeUnknown, "the connection was closed before the answer was complete")},
		{"orders are refused", fault.New(fault.ServerRefused, "load shed")},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeServers()
				f.backups = true
				s := startStream(t, f, 60, 5)
				s.update(func(f *fakeServers) {
					f.stopFaults = repeatFault(c.err, 5)
					f.broken[s.server] = true
				})
				time.Sleep(5 * eventGap)
				s.leave()
				<-s.done
				s.update(func(f *fakeServers) { f.broken[s.server] = false })
				s.notice(other(s.server))
				second := &caller{}
				s.Handle(context.Background(), request("/stream/1"), second)
				if second.count() > 0 && !second.complete(60) {
					t.Errorf("repeat: got %d of 60 events, want all or none", second.count())
				}
			})
		})
	}
}

// Guards against two runs with one ID at one server, where an order to stop or to move one of them could reach the other.
func TestStreamsWithOneIDRunAtDifferentServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		s := startStream(t, f, 60, 5)
		second, third := &caller{}, &caller{}
		connection, leave := context.WithCancel(context.Background())
		defer leave()
		s.Group.Go(func(context.Context) error {
			s.Handle(connection, request("/stream/1"), second)
			return nil
		})
		time.Sleep(5 * eventGap)
		s.Handle(connection, request("/stream/1"), third)
		f.mutex.Lock()
		if got, want := f.sends, []string{s.server, other(s.server)}; !slices.Equal(got, want) {
			t.Errorf("servers of streams with the same ID: got %v, want %v", got, want)
		}
		f.mutex.Unlock()
		if x := third.refused(); x == nil || x.Ran != api.RanNo {
			t.Errorf("stream without another server: got %v, want it refused as not run", x)
		}
		later, fourth := request("/stream/1"), &caller{}
		later.ID = "another"
		if s.Handle(connection, later, fourth); !fourth.complete(60) {
			t.Errorf("stream with another ID: got %d events, want 60", fourth.count())
		}
	})
}

// Guards against a run that is resumed from the backup copy of an earlier one with the same ID, which did not end well.
func TestBackupIsNotPlacedBesideCopyOfEarlierRunWithItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeServers()
		f.backups = true
		s := startStream(t, f, 60, 5)
		holder := func() string {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			return f.handles["r"]
		}
		if got, want := holder(), other(s.server); got != want {
			t.Fatalf("backup of the first run: got it at %q, want it at %q", got, want)
		}
		s.leave()
		<-s.done
		// The load of another entry VM makes the repeat run where the first run did.
		s.UpdateHolding(api.Holding{Protocol: gossip.Protocol, VM: "c", Sequence: 1, Loads: map[string]api.ServerLoad{other(s.server): {Requests: 8, Tokens: 8000}}})
		repeat := func() (server, backup string) {
			f.mutex.Lock()
			delete(f.handles, "r")
			f.mutex.Unlock()
			s.Handle(context.Background(), request("/stream/1"), &caller{})
			f.mutex.Lock()
			defer f.mutex.Unlock()
			return f.sends[len(f.sends)-1], f.handles["r"]
		}
		if at, got := repeat(); got != "" || at != s.server {
			t.Errorf("repeat at once: got it at %q and its backup at %q, want it at %q without a backup", at, got, s.server)
		}
		time.Sleep(time.Minute)
		if _, got := repeat(); got == "" {
			t.Error("backup of a later repeat: got none, want one")
		}
	})
}
