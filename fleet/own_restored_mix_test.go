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

// ownMix plays a drawn course over a fleet of the own interface.
type ownMix struct {
	*bed
	t      *testing.T
	rand   *rand.Rand
	copies []platform.Backup
	// weights counts the changes of the model, keys the orders that were asked for.
	weights, keys int
	cut           map[*vm]bool
	told          []string
}

func (m *ownMix) note(format string, a ...any) {
	m.told = append(m.told, fmt.Sprintf(format, a...))
}

// step makes one drawn change.
func (m *ownMix) step() {
	switch m.rand.IntN(7) {
	case 0:
		m.weights++
		m.note("weights %d", m.weights)
		m.change(fmt.Sprint("w", m.weights))
	case 1:
		m.note("copy %d", len(m.copies))
		m.copies = append(m.copies, m.store.Backup())
	case 2:
		m.comeBack()
	case 3:
		v := m.vms[m.rand.IntN(len(m.vms))]
		m.cut[v] = !m.cut[v]
		m.note("%s cut off: %v", v.name, m.cut[v])
		m.isolate(v, m.cut[v])
	case 4, 5:
		m.order(m.rand.IntN(2) == 0)
	case 6:
		m.order(false)
		m.comeBack()
	}
}

// comeBack has the platform come back from a copy.
func (m *ownMix) comeBack() {
	if len(m.copies) == 0 {
		return
	}
	k := m.rand.IntN(len(m.copies))
	m.note("back from copy %d", k)
	if m.rand.IntN(2) == 0 {
		m.platform.Set(platform.Faults{Outage: true})
		time.Sleep(time.Duration(m.rand.IntN(3)) * time.Second)
	}
	m.store.Restore(m.copies[k])
	m.platform.Set(platform.Faults{})
	m.copies = nil
}

// order asks for a new order, whose answer may be lost.
func (m *ownMix) order(lost bool) {
	m.keys++
	if lost {
		m.orders.Set(service.Faults{LoseAnswers: 1})
	}
	v := m.vms[m.rand.IntN(len(m.vms))]
	got := m.confirm(v, fmt.Sprint("k", m.keys))
	m.orders.Set(service.Faults{})
	m.note("order %d at %s: %d", m.keys, v.name, got)
}

// again asks once more for some of the last orders, at any entry VM.
func (m *ownMix) again() {
	for range 3 {
		k := max(1, m.keys-m.rand.IntN(6))
		v := m.vms[m.rand.IntN(len(m.vms))]
		if got := m.confirm(v, fmt.Sprint("k", k)); got != 0 {
			m.note("order %d again at %s: %d", k, v.name, got)
		}
	}
}

// check looks at what must always hold.
func (m *ownMix) check() {
	for k, n := range m.orders.Counts() {
		if n > 1 {
			m.t.Errorf("order %s: got it confirmed %d times, want once\n%v", k, n, m.told)
		}
	}
	if got := m.holders(orders.Duty); got > 1 {
		m.t.Errorf("holders of the orders: got %d, want one at most\n%v", got, m.told)
	}
}

func TestOwnRestoresAmongOtherFaults(t *testing.T) {
	for seed := range *restoreSeeds / 2 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			fleet(t, 4, func(t *testing.T, b *bed) {
				b.work()
				m := &ownMix{bed: b, t: t, rand: rand.New(rand.NewPCG(seed, 2)), cut: map[*vm]bool{}}
				for range 30 {
					m.step()
					m.again()
					m.check()
					time.Sleep(time.Duration(100+m.rand.IntN(1500)) * time.Millisecond)
				}
				for _, v := range b.vms {
					m.isolate(v, false)
				}
				m.note("calm")
				time.Sleep(10 * time.Second)
				b.within(force, "the last change", b.inForce(b.change("last")))
				b.within(30*time.Second, "a holder of the orders", func() bool { return b.holders(orders.Duty) == 1 })
				m.check()
				if t.Failed() {
					t.Log(m.told)
				}
			})
		})
	}
}
