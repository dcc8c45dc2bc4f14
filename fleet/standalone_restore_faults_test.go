package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/orders"
	"github.com/wardridge/wardridge/internal/standin/platform"
	"github.com/wardridge/wardridge/internal/standin/service"
)

// standaloneScenario runs a random sequence of restores, cuts, changes and orders on a
// standalone fleet.
type standaloneScenario struct {
	*testbed
	t       *testing.T
	rand    *rand.Rand
	backups []platform.Backup
	// modelChanges counts the changes of the model, and orderCount the orders sent.
	modelChanges, orderCount int
	isolated                 map[*vm]bool
	history                  []string
}

// logf adds an entry to the history.
func (m *standaloneScenario) logf(format string, a ...any) {
	m.history = append(m.history, fmt.Sprintf(format, a...))
}

// step makes one random change.
func (m *standaloneScenario) step() {
	switch m.rand.IntN(7) {
	case 0:
		m.modelChanges++
		m.logf("weights %d", m.modelChanges)
		m.changeModel(fmt.Sprint("w", m.modelChanges))
	case 1:
		m.logf("backup %d", len(m.backups))
		m.backups = append(m.backups, m.store.Backup())
	case 2:
		m.restoreRandomBackup()
	case 3:
		v := m.vms[m.rand.IntN(len(m.vms))]
		m.isolated[v] = !m.isolated[v]
		m.logf("%s isolated: %v", v.name, m.isolated[v])
		m.isolate(v, m.isolated[v])
	case 4, 5:
		m.sendOrder(m.rand.IntN(2) == 0)
	case 6:
		m.sendOrder(false)
		m.restoreRandomBackup()
	}
}

// restoreRandomBackup restores the platform from a random backup, half of the time after an
// outage.
func (m *standaloneScenario) restoreRandomBackup() {
	if len(m.backups) == 0 {
		return
	}
	k := m.rand.IntN(len(m.backups))
	m.logf("restore of backup %d", k)
	if m.rand.IntN(2) == 0 {
		m.platform.Set(platform.Faults{Outage: true})
		time.Sleep(time.Duration(m.rand.IntN(3)) * time.Second)
	}
	m.store.Restore(m.backups[k])
	m.platform.Set(platform.Faults{})
	m.backups = nil
}

// sendOrder sends the confirmation of a new order; with lost the service loses its answer.
func (m *standaloneScenario) sendOrder(lost bool) {
	m.orderCount++
	if lost {
		m.orders.Set(service.Faults{LoseAnswers: 1})
	}
	v := m.vms[m.rand.IntN(len(m.vms))]
	got := m.confirmOrder(v, fmt.Sprint("k", m.orderCount))
	m.orders.Set(service.Faults{})
	m.logf("order %d at %s: %d", m.orderCount, v.name, got)
}

// repeatOrders retries some of the last orders at random entry VMs.
func (m *standaloneScenario) repeatOrders() {
	for range 3 {
		k := max(1, m.orderCount-m.rand.IntN(6))
		v := m.vms[m.rand.IntN(len(m.vms))]
		if got := m.confirmOrder(v, fmt.Sprint("k", k)); got != 0 {
			m.logf("order %d again at %s: %d", k, v.name, got)
		}
	}
}

// checkInvariants checks that no order was confirmed twice and that at most one entry VM
// holds the orders lease.
func (m *standaloneScenario) checkInvariants() {
	for k, n := range m.orders.Counts() {
		if n > 1 {
			m.t.Errorf("order %s: got %d confirmations, want at most one\n%v", k, n, m.history)
		}
	}
	if got := m.countHolders(orders.Duty); got > 1 {
		m.t.Errorf("holders of the orders lease: got %d, want one at most\n%v", got, m.history)
	}
}

func TestStandaloneStoreRestoresWithOtherFaults(t *testing.T) {
	for seed := range *restoreSeeds / 2 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withFleet(t, 4, func(t *testing.T, b *testbed) {
				b.startBackends()
				m := &standaloneScenario{testbed: b, t: t, rand: rand.New(rand.NewPCG(seed, 2)), isolated: map[*vm]bool{}}
				for range 30 {
					m.step()
					m.repeatOrders()
					m.checkInvariants()
					time.Sleep(time.Duration(100+m.rand.IntN(1500)) * time.Millisecond)
				}
				for _, v := range b.vms {
					m.isolate(v, false)
				}
				m.logf("all links restored")
				time.Sleep(10 * time.Second)
				b.waitFor(maxChangeDelay, "the last change", b.inForceOnAll(b.changeModel("last")))
				b.waitFor(30*time.Second, "a holder of the orders lease", func() bool { return b.countHolders(orders.Duty) == 1 })
				m.checkInvariants()
				if t.Failed() {
					t.Log(m.history)
				}
			})
		})
	}
}
