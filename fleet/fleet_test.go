package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/orders"
	"github.com/wardridge/wardridge/internal/standin/platform"
)

// maxChangeDelay is the time within which an accepted change is in force on every entry VM.
const maxChangeDelay = 5 * time.Second

// withFleet runs a test in virtual time on a testbed of n entry VMs that has converged.
func withFleet(t *testing.T, n int, f func(t *testing.T, b *testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t, n)
		b.waitConverged()
		f(t, b)
	})
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, b *testbed) {
		for i := range 5 {
			d := b.waitFor(maxChangeDelay, "the change", b.inForceOnAll(b.changeModel(fmt.Sprint(i))))
			t.Logf("in force on 9 entry VMs after %v", d)
		}
	})
}

func TestPlatformDownForAnHour(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, b *testbed) {
		b.platform.Set(platform.Faults{Outage: true})
		time.Sleep(time.Hour)
		if !b.allVMs(func(s api.NodeStatus) bool { return s.State == api.PeerStateServing }) {
			t.Errorf("after an outage of an hour: got entry VMs that do not serve, want all serving")
		}
		if got := b.countHolders(orders.Duty); got != 0 {
			t.Errorf("holders of the orders lease during the outage: got %d, want 0", got)
		}
		b.platform.Set(platform.Faults{})
		d := b.waitFor(maxChangeDelay, "the change", b.inForceOnAll(b.changeModel("after")))
		t.Logf("in force on 9 entry VMs %v after the outage", d)
		b.waitFor(30*time.Second, "a holder of the orders lease", func() bool { return b.countHolders(orders.Duty) == 1 })
	})
}

func TestFailureDomainLost(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, b *testbed) {
		// A third of the entry VMs loses its connections to the platform and all peers at once.
		var lost []*vm
		for _, v := range b.vms {
			if v.domain == "hall-0" {
				lost = append(lost, v)
				b.isolate(v, true)
			}
		}
		d := b.waitFor(maxChangeDelay, "the change", b.inForceOnAll(b.changeModel("without"), lost...))
		t.Logf("in force on the other two thirds after %v", d)
		b.waitFor(20*time.Second, "the other entry VMs to suspect the lost ones", func() bool {
			return b.allVMs(func(s api.NodeStatus) bool {
				n := 0
				for _, m := range s.Members {
					if m.State == api.MemberStatusStateSuspect {
						n++
					}
				}
				return n == len(lost)
			}, lost...)
		})
		b.waitFor(30*time.Second, "one holder of the orders lease", func() bool { return b.countHolders(orders.Duty) == 1 })
		for _, v := range lost {
			b.isolate(v, false)
		}
		b.waitFor(30*time.Second, "the lost entry VMs to catch up", b.inForceOnAll(b.changeModel("with")))
		b.waitConverged()
	})
}

// isolate cuts or restores the links between an entry VM and the platform and its peers;
// operators still reach it.
func (b *testbed) isolate(v *vm, cut bool) {
	others := []string{platformHost}
	for _, o := range b.vms {
		if o != v {
			others = append(others, o.host)
		}
	}
	for _, o := range others {
		b.net.cut(v.host, o, cut)
		b.net.cut(o, v.host, cut)
	}
}

func TestIsolatedVMReportsItsConfigAndCatchesUp(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, b *testbed) {
		v := b.vms[2]
		before, err := b.status(v)
		if err != nil {
			t.Fatal(err)
		}
		b.isolate(v, true)
		n := b.changeModel("new")
		b.waitFor(maxChangeDelay, "the change on the other entry VMs", b.inForceOnAll(n, v))
		time.Sleep(10 * time.Minute)
		s, err := b.status(v)
		if err != nil || s.ConfigVersion < before.ConfigVersion || s.ConfigVersion >= n {
			t.Errorf("isolated entry VM: got configuration version %d, %v, want at least %d and below %d", s.ConfigVersion, err, before.ConfigVersion, n)
		}
		if s.PlatformAgeMS < 60000 {
			t.Errorf("isolated entry VM: got the last contact with the platform %d ms ago, want at least 60000", s.PlatformAgeMS)
		}
		b.isolate(v, false)
		b.waitFor(30*time.Second, "the isolated entry VM to catch up", b.inForceOnAll(n))
	})
}

func TestOneWayCutNeitherFlapsNorStopsServing(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, b *testbed) {
		v := b.vms[1]
		for _, o := range b.vms {
			if o != v {
				// The others can't connect to v, but v can connect to them.
				b.net.cut(o.host, v.host, true)
			}
		}
		time.Sleep(20 * time.Second)
		changes := 0
		last := map[string]api.MemberStatusState{}
		for range 200 {
			time.Sleep(time.Second)
			for _, o := range b.vms {
				s, err := b.status(o)
				if err != nil {
					t.Fatal(err)
				}
				for _, m := range s.Members {
					k := o.name + string(m.VM)
					if last[k] != "" && last[k] != m.State {
						changes++
					}
					last[k] = m.State
				}
			}
		}
		if changes != 0 {
			t.Errorf("changes of member states under a steady one-way cut: got %d, want 0", changes)
		}
		if got := b.countHolders(orders.Duty); got != 1 {
			t.Errorf("holders of the orders lease: got %d, want 1", got)
		}
		b.waitFor(maxChangeDelay, "a change", b.inForceOnAll(b.changeModel("x")))
	})
}

func TestRollingReplacementOfAll(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, b *testbed) {
		last := api.Version(0)
		for i := range b.vms {
			b.vms[i].stop()
			n := b.changeModel(fmt.Sprint("during ", i))
			b.waitFor(maxChangeDelay, "the change on the other entry VMs", b.inForceOnAll(n, b.vms[i]))
			v := b.startVM(i)
			b.waitFor(time.Minute, "the new entry VM to serve with the change", func() bool {
				s, err := b.status(v)
				return err == nil && s.State == api.PeerStateServing && s.ConfigVersion >= n
			})
			if n <= last {
				t.Errorf("version: got %d after %d, want a higher one", n, last)
			}
			last = n
		}
		b.waitConverged()
		b.waitFor(30*time.Second, "one holder of the orders lease", func() bool { return b.countHolders(orders.Duty) == 1 })
	})
}

// TestQuietFleetCosts measures the calls to the platform and the network traffic of three
// minutes without callers, and checks that no entry VM is wrongly suspected.
func TestQuietFleetCosts(t *testing.T) {
	for _, n := range []int{3, 9, 27} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			withFleet(t, n, func(t *testing.T, b *testbed) {
				const span = 3 * time.Minute
				before, bytes := b.platform.Calls(), b.net.bytes.Load()
				suspected := 0
				for range 12 {
					time.Sleep(span / 12)
					if !b.allVMs(func(s api.NodeStatus) bool {
						for _, m := range s.Members {
							if m.State == api.MemberStatusStateSuspect {
								suspected++
							}
						}
						return true
					}) {
						t.Errorf("got an entry VM that does not answer, want all to answer")
					}
				}
				after := b.platform.Calls()
				per := span.Seconds() * float64(n)
				t.Logf("%d entry VMs: %.2f reads and %.3f watches per second and node, %.2f writes per second in total, %.2f KB/s per node, %d suspected",
					n, float64(after.Reads-before.Reads)/per, float64(after.Watches-before.Watches)/per,
					float64(after.Writes-before.Writes)/span.Seconds(), float64(b.net.bytes.Load()-bytes)/per/1024, suspected)
				if suspected != 0 {
					t.Errorf("false suspicions: got %d, want 0", suspected)
				}
			})
		})
	}
}
