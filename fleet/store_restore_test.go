package fleet

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/gateway"
	"github.com/wardridge/wardridge/internal/node"
	"github.com/wardridge/wardridge/internal/port"
	"github.com/wardridge/wardridge/internal/standin/hosted"
	"github.com/wardridge/wardridge/internal/wire"
	"github.com/wardridge/wardridge/platform"
	"github.com/wardridge/wardridge/platform/standin"
)

// maxHostedChangeDelay is the time within which a confirmed change is in force on every hosted
// entry VM; operators rely on it.
const maxHostedChangeDelay = 2 * time.Second

// maxCloseDelay is the time after which a closed failure domain gets no new requests.
const maxCloseDelay = 5 * time.Second

// storeTestbed is a fleet of hosted entry VMs with a platform's store that can be restored
// from a backup.
type storeTestbed struct {
	*hostedTestbed
	store    *hosted.Store
	endpoint *hosted.Endpoint
	sent     *recorder
	calls    atomic.Int64
}

// recorder records the attempts that entry VMs send to backend servers.
type recorder struct {
	mutex    sync.Mutex
	attempts []port.Attempt
}

// Send records an attempt and answers it.
func (r *recorder) Send(_ context.Context, a port.Attempt) (port.Answer, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.attempts = append(r.attempts, a)
	return port.Answer{Head: port.Head{Status: http.StatusOK}, Body: []byte("done")}, nil
}

// takeCount counts the attempts sent to the servers since the previous call.
func (r *recorder) takeCount(ids ...api.ServerID) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := 0
	for _, a := range r.attempts {
		if slices.Contains(ids, a.Server.ID) {
			n++
		}
	}
	r.attempts = nil
	return n
}

// recordingPool is a pool that records and answers plain requests without running them.
type recordingPool struct {
	*pool
	*recorder
}

// Send records an attempt and answers it.
func (r recordingPool) Send(ctx context.Context, a port.Attempt) (port.Answer, error) {
	return r.recorder.Send(ctx, a)
}

// newConfig returns a configuration of a version, with a route that is named after the
// version and one that every version has.
func newConfig(v int64) directory.Config {
	n := fmt.Sprintf("/v%d/", v)
	r := func(p string) directory.Route {
		return directory.Route{Name: p, Host: "h", Prefix: p, Kind: directory.Safe, Timeout: 10 * time.Second, LatencyTarget: time.Second, MaxServers: 2, Anonymous: true, Targets: []directory.Target{{Service: "plain", Weight: 1}}}
	}
	return directory.Config{Version: v, Routes: []directory.Route{r("/always/"), r(n)}, Services: []directory.Service{{Name: "plain"}}}
}

// plainServer returns a plain server in a failure domain.
func plainServer(id, domain string) roster.Server {
	return roster.Server{ID: api.ServerID(id), Service: "plain", Address: "10.0.9." + id + ":80", Domain: api.DomainName(domain), Slots: 6}
}

// newStoreTestbed starts n entry VMs with a store that holds the configuration of version 1
// and four servers.
func newStoreTestbed(t *testing.T, n int) *storeTestbed {
	t.Helper()
	s := hosted.NewStore(standin.Wire{})
	b := &storeTestbed{store: s, endpoint: s.NewEndpoint(), sent: &recorder{}}
	b.configure(t, 1)
	for i := range 4 {
		b.register(t, plainServer(fmt.Sprint(i+1), fmt.Sprintf("hall-%d", i%3)))
	}
	b.hostedTestbed = prepareHostedTestbed(t, newPool(0, 0))
	b.newAdapter, b.settings = b.newStoreAdapter, fmt.Sprintf("close_ms = %d\n", maxCloseDelay.Milliseconds())
	b.serveStore(t)
	for i := range n {
		b.start(i)
	}
	time.Sleep(10 * time.Second)
	return b
}

// serveStore serves the store on the network and counts the calls.
func (b *storeTestbed) serveStore(t *testing.T) {
	t.Helper()
	l, err := machine{b.net, platformHost}.listen(context.Background(), platformHost+":80")
	if err != nil {
		t.Fatal(err)
	}
	store := standin.Wire{}.StoreHandler(b.endpoint)
	h := wire.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.calls.Add(1)
		store.ServeHTTP(w, r)
	}), time.Second)
	b.group.Go(func(context.Context) error { _ = h.Serve(l); return nil })
	t.Cleanup(func() { _ = h.Close() })
}

// newStoreAdapter returns the hosting platform's adapter for entry VM i, with servers that
// only record attempts.
func (b *storeTestbed) newStoreAdapter(i int, l node.AdapterOptions) node.Adapter {
	o := platform.NewStoreClient(l.Platform, l.Address)
	bad := func(kind, name string, err error) { b.t.Errorf("%s/%s: %v", kind, name, err) }
	return node.Adapter{
		Config: platform.NewConfigSource(o, bad), Servers: platform.NewServerSource(o, bad), Closures: platform.NewClosureSource(o, bad),
		QuarantineSource: platform.NewQuarantineSource(o, bad), QuarantineStore: platform.NewQuarantineWriter(o),
		Backends:  recordingPool{b.pool, b.sent},
		Ingress:   func(g *gateway.Gateway) http.Handler { return b.ingress(i, g) },
		Readiness: func(*gateway.Gateway) http.Handler { return http.NotFoundHandler() },
	}
}

// configure writes the configuration of a version as operators do.
func (b *storeTestbed) configure(t *testing.T, v int64) {
	t.Helper()
	if err := b.store.WriteConfig(newConfig(v)); err != nil {
		t.Fatal(err)
	}
}

// register writes a server's entry as the server does.
func (b *storeTestbed) register(t *testing.T, s roster.Server) {
	t.Helper()
	e, err := standin.Wire{}.EncodeServer(s)
	if err != nil {
		t.Fatal(err)
	}
	b.store.Write(e)
}

// restore restores the store from a backup after an outage of two seconds.
func (b *storeTestbed) restore(c hosted.Backup) {
	b.endpoint.SetOutcome(hosted.Disconnected, 0)
	time.Sleep(2 * time.Second)
	b.store.Restore(c)
	b.endpoint.SetOutcome(hosted.Answered, 0)
}

// serves reports whether entry VM i serves the route of a configuration's version.
func (b *storeTestbed) serves(i int, v int64) bool {
	p := fmt.Sprintf("/v%d/", v)
	return b.send(i, newRequest(fmt.Sprint("probe-", v, "-", time.Now().UnixNano()), p, "")).served()
}

// checkVersion checks that every entry VM serves the route of version v and, unless gone is
// zero, no longer that of version gone.
func (b *storeTestbed) checkVersion(when string, n int, v, gone int64) {
	b.t.Helper()
	for i := range n {
		if !b.serves(i, v) {
			b.t.Errorf("%s, entry VM %d: got the route of version %d not served, want it", when, i, v)
		}
		if gone > 0 && b.serves(i, gone) {
			b.t.Errorf("%s, entry VM %d: got the route of version %d served, want it gone", when, i, gone)
		}
	}
}

// maxRestoreDelay is how long entry VMs take to notice a restore of the platform: the pause
// after a failed call, a list call, and the exchange with peers.
const maxRestoreDelay = 3 * time.Second

func TestConfigChangesAfterStoreRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 6
		b := newStoreTestbed(t, n)
		c := b.store.Backup()
		for v := range int64(8) {
			b.configure(t, v+2)
			time.Sleep(maxHostedChangeDelay)
		}
		b.checkVersion("before", n, 9, 8)
		b.restore(c)
		time.Sleep(maxRestoreDelay)
		b.checkVersion("after the restore", n, 9, 1)
		b.configure(t, 10)
		time.Sleep(maxHostedChangeDelay)
		b.checkVersion("after the next change", n, 10, 9)
		b.configure(t, 11)
		time.Sleep(maxHostedChangeDelay)
		b.checkVersion("after the second change", n, 11, 10)
	})
}

func TestRestoredStorePassesKnownVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 6
		b := newStoreTestbed(t, n)
		c := b.store.Backup()
		b.configure(t, 2)
		time.Sleep(maxHostedChangeDelay)
		b.store.Restore(c)
		b.unregister(t, plainServer("4", "hall-0"))
		for v := range int64(8) {
			b.configure(t, v+3)
		}
		time.Sleep(maxRestoreDelay + maxHostedChangeDelay)
		b.checkVersion("after the restore", n, 10, 2)
		b.sent.takeCount("4")
		b.sendRequests(n)
		if got := b.sent.takeCount("4"); got > 0 {
			t.Errorf("requests to a server that left: got %d, want none", got)
		}
	})
}

// sendRequests sends thirty requests to each entry VM, enough that every server in use gets
// some.
func (b *storeTestbed) sendRequests(n int) {
	for i := range 30 * n {
		b.send(i%n, newRequest(fmt.Sprint("load-", i), "/always/", ""))
	}
}

// unregister deletes a server's entry, as happens when the server ends.
func (b *storeTestbed) unregister(t *testing.T, s roster.Server) {
	t.Helper()
	e, err := standin.Wire{}.EncodeServer(s)
	if err != nil {
		t.Fatal(err)
	}
	b.store.Delete(e)
}

func TestVMStartedAfterStoreRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 6
		b := newStoreTestbed(t, n)
		c := b.store.Backup()
		b.configure(t, 2)
		b.configure(t, 3)
		time.Sleep(maxHostedChangeDelay)
		b.restore(c)
		time.Sleep(maxRestoreDelay)
		for _, i := range []int{0, 5} {
			b.stops[i]()
			b.start(i)
		}
		time.Sleep(maxHostedChangeDelay)
		b.checkVersion("after two VMs started", n, 3, 1)
		b.configure(t, 4)
		time.Sleep(maxHostedChangeDelay)
		b.checkVersion("after the next change", n, 4, 3)
	})
}

func TestDepartedServersAfterStoreRestore(t *testing.T) {
	for _, w := range []struct {
		name string
		// noticed is set if calls of entry VMs fail during the restore; wait is the time from
		// the servers' leave to the restore.
		noticed bool
		wait    time.Duration
	}{{"in an outage", true, time.Second}, {"between two calls", false, time.Second}, {"long after they left", true, 18 * time.Second}} {
		t.Run(w.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const n = 6
				b := newStoreTestbed(t, n)
				c := b.store.Backup()
				leaving := plainServer("1", "hall-0")
				leaving.Draining = true
				b.register(t, leaving)
				b.unregister(t, plainServer("2", "hall-1"))
				time.Sleep(w.wait)
				if w.noticed {
					b.restore(c)
				} else {
					b.store.Restore(c)
				}
				b.stops[n-1]()
				b.start(n - 1)
				time.Sleep(time.Second)
				b.sent.takeCount("1", "2")
				b.sendRequests(n)
				if got := b.sent.takeCount("1", "2"); got > 0 {
					t.Errorf("requests to servers that are leaving or gone, before their entries are updated: got %d, want none", got)
				}
				// The draining server, which still serves, writes its entry again; that of the other
				// one lapses.
				b.register(t, leaving)
				time.Sleep(3 * time.Second)
				b.unregister(t, plainServer("2", "hall-1"))
				b.sendRequests(n)
				if got := b.sent.takeCount("1", "2"); got > 0 {
					t.Errorf("requests to servers that are leaving or gone, later: got %d, want none", got)
				}
			})
		})
	}
}

// A closure of a failure domain that the backup doesn't contain must stay in force after the
// store was restored from it.
func TestClosedDomainAfterStoreRestore(t *testing.T) {
	for _, w := range []struct {
		name string
		// rewriteAfter is how long after the restore operators write the closure again, and
		// openAfter how long after the restore they remove it; zero is never.
		rewriteAfter, openAfter time.Duration
		// maxClosed is how long after the restore the domain may stay closed.
		maxClosed time.Duration
	}{
		{"written again and opened", 8 * time.Second, 12 * time.Second, 12*time.Second + maxCloseDelay},
		{"written again and opened at once", 8 * time.Second, 8 * time.Second, time.Minute},
		{"never written again", 0, 0, time.Minute},
	} {
		t.Run(w.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const n = 6
				b := newStoreTestbed(t, n)
				c := b.store.Backup()
				b.setDomainClosed(t, true)
				time.Sleep(maxCloseDelay)
				b.restore(c)
				back := time.Now()
				b.stops[n-1]()
				b.start(n - 1)
				time.Sleep(2 * time.Second)
				checkClosed := func(when string) {
					b.sent.takeCount("1", "4")
					b.sendRequests(n)
					if got := b.sent.takeCount("1", "4"); got > 0 {
						t.Errorf("%s: got %d requests to the closed domain, want none", when, got)
					}
				}
				checkClosed("after the restore")
				if w.rewriteAfter > 0 {
					time.Sleep(time.Until(back.Add(w.rewriteAfter)))
					checkClosed("before operators write the closure again")
					b.setDomainClosed(t, true)
					if w.openAfter > w.rewriteAfter {
						time.Sleep(maxCloseDelay / 2)
						checkClosed("after operators wrote the closure again")
						time.Sleep(time.Until(back.Add(w.openAfter)))
					}
					b.setDomainClosed(t, false)
				}
				time.Sleep(time.Until(back.Add(w.maxClosed)))
				b.sent.takeCount("1", "4")
				b.sendRequests(n)
				if got := b.sent.takeCount("1", "4"); got == 0 {
					t.Error("after the domain was opened: got no request to it, want some")
				}
			})
		})
	}
}

// setDomainClosed closes or opens the failure domain of servers 1 and 4.
func (b *storeTestbed) setDomainClosed(t *testing.T, closed bool) {
	t.Helper()
	f := b.store.CloseDomain
	if !closed {
		f = b.store.OpenDomain
	}
	if err := f("hall-0"); err != nil {
		t.Fatal(err)
	}
}

// newQuarantineClient returns a writer and a source of the quarantined contents in the store,
// as entry VMs use them.
func (b *storeTestbed) newQuarantineClient(t *testing.T) (platform.QuarantineWriter, *platform.Source[quarantine.Entry]) {
	t.Helper()
	c, closer := wire.NewClientWithDial(machine{b.net, "operator"}.dial, false)
	t.Cleanup(closer)
	o := platform.NewStoreClient(c, platformHost+":80")
	return platform.NewQuarantineWriter(o), platform.NewQuarantineSource(o, func(_, name string, err error) { t.Errorf("%s: %v", name, err) })
}

// contentHash returns the hash by which entry VMs know a request's content.
func contentHash(r *port.Request) api.ContentHash {
	return quarantine.Hash("", r.Method, r.Host, r.Target, r.Body)
}

func TestQuarantinesSurviveStoreRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 6
		b := newStoreTestbed(t, n)
		q, source := b.newQuarantineClient(t)
		ctx := context.Background()
		deadly, released := newRequest("x", "/always/", "deadly"), newRequest("y", "/always/", "released")
		until := time.Now().Add(time.Hour)
		if err := q.Put(ctx, quarantine.Entry{Content: contentHash(released), Until: until}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(maxHostedChangeDelay)
		c := b.store.Backup()
		if err := q.Put(ctx, quarantine.Entry{Content: contentHash(deadly), Until: until}); err != nil {
			t.Fatal(err)
		}
		if err := q.Delete(ctx, contentHash(released)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(maxHostedChangeDelay)
		check := func(when string) {
			t.Helper()
			for i := range n {
				if !b.send(i, newRequest("x", "/always/", "deadly")).refused(fault.Quarantined) {
					t.Errorf("%s, entry VM %d: got the content that crashes servers not refused, want it refused as quarantined", when, i)
				}
				if !b.send(i, newRequest("y", "/always/", "released")).served() {
					t.Errorf("%s, entry VM %d: got the released content not served, want it served", when, i)
				}
			}
		}
		check("before")
		b.restore(c)
		time.Sleep(maxRestoreDelay)
		check("after the restore")
		b.stops[0]()
		b.start(0)
		time.Sleep(maxRestoreDelay)
		check("after a VM started")
		l, err := source.List(ctx)
		if err != nil || len(l.Items) != 1 || l.Items[0].Value.Content != contentHash(deadly) {
			t.Errorf("quarantined contents in the store: got %+v, %v, want only the content that crashes servers", l.Items, err)
		}
		if err := q.Delete(ctx, contentHash(deadly)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(maxRestoreDelay)
		for i := range n {
			if !b.send(i, newRequest("x", "/always/", "deadly")).served() {
				t.Errorf("content released after the restore, entry VM %d: got it not served, want it served", i)
			}
		}
	})
}

// A restore of the store must not cause a burst of calls from all entry VMs.
func TestNoCallBurstAfterStoreRestore(t *testing.T) {
	for _, noticed := range []bool{false, true} {
		t.Run(fmt.Sprintf("noticed %v", noticed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const n, span = 24, 5 * time.Second
				b := newStoreTestbed(t, n)
				c := b.store.Backup()
				b.configure(t, 2)
				time.Sleep(maxHostedChangeDelay)
				before := b.calls.Load()
				time.Sleep(span)
				usual := b.calls.Load() - before
				if noticed {
					b.restore(c)
				} else {
					b.store.Restore(c)
				}
				before = b.calls.Load()
				time.Sleep(span)
				after := b.calls.Load() - before
				t.Logf("%d entry VMs: %d calls in %v before the restore, %d after it", n, usual, span, after)
				// Allowed beyond the calls before are one list and one watch for each VM and kind.
				if allowed := usual + 2*4*n; after > allowed {
					t.Errorf("calls after the restore: got %d, want at most %d", after, allowed)
				}
			})
		})
	}
}
