package fleet

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/standin/hosted"
)

// restoreSeeds is the number of courses that TestRestoresAmongOtherFaults plays.
var restoreSeeds = flag.Uint64("restore-seeds", 12, "courses of restores among other faults")

// mix plays a drawn course of restores, cuts, restarts and changes over a fleet, and knows
// what operators and servers last wrote.
type mix struct {
	*storeTestbed
	t    *testing.T
	rand *rand.Rand
	n    int
	// newest is the configuration that was confirmed last.
	newest  int64
	written time.Time
	copies  []hosted.Backup
	// servers are those that live, with what they last wrote; left are those that ended or
	// said that they will.
	servers map[api.ServerID]roster.Server
	left    map[api.ServerID]roster.Server
	leftAt  map[api.ServerID]time.Time
	made    int
	// back is when the platform last came back from a copy.
	back time.Time
	// cut holds the entry VMs that the platform or peers don't reach, and disturbed when each
	// was last cut, healed or started.
	cut       map[int]bool
	disturbed map[int]time.Time
	// forced is the newest configuration that each entry VM was seen to serve by.
	forced map[int]int64
	// told is the course so far.
	told []string
}

// note adds to the course.
func (m *mix) note(format string, a ...any) {
	m.told = append(m.told, fmt.Sprintf(format, a...))
}

// step makes one drawn change.
func (m *mix) step() {
	switch m.rand.IntN(8) {
	case 0, 1:
		m.newest++
		m.note("configuration %d", m.newest)
		m.configure(m.t, m.newest)
		m.written = time.Now()
	case 2:
		m.note("copy %d", len(m.copies))
		m.copies = append(m.copies, m.store.Backup())
	case 3:
		m.comeBack()
	case 4:
		m.leave()
	case 5:
		m.made++
		s := plainServer(fmt.Sprint(100+m.made), fmt.Sprintf("hall-%d", m.made%3))
		m.note("server %s starts", s.ID)
		m.servers[s.ID] = s
		m.register(m.t, s)
	case 6:
		m.link()
	case 7:
		i := m.rand.IntN(m.n)
		m.note("entry VM %d restarts", i)
		m.stops[i]()
		m.start(i)
		m.disturbed[i] = time.Now()
		delete(m.forced, i)
	}
}

// comeBack has the platform come back from a copy of the last seconds, noticed or not.
func (m *mix) comeBack() {
	if len(m.copies) == 0 {
		return
	}
	k := len(m.copies) - 1 - m.rand.IntN(min(2, len(m.copies)))
	away := time.Duration(m.rand.IntN(3)) * time.Second
	m.note("back from copy %d after %v", k, away)
	if away > 0 {
		m.endpoint.SetOutcome(hosted.Disconnected, 0)
		time.Sleep(away)
	}
	m.store.Restore(m.copies[k])
	m.endpoint.SetOutcome(hosted.Answered, 0)
	// None of an earlier era is used again.
	m.copies = m.copies[:0]
	m.back = time.Now()
}

// leave has a server say that it leaves, or go without a word.
func (m *mix) leave() {
	if len(m.servers) < 4 {
		return
	}
	ids := slices.Sorted(maps.Keys(m.servers))
	id := ids[m.rand.IntN(len(ids))]
	s := m.servers[id]
	delete(m.servers, id)
	m.leftAt[id] = time.Now()
	if m.rand.IntN(2) == 0 {
		m.note("server %s drains", id)
		s.Draining = true
		m.left[id] = s
		m.register(m.t, s)
		return
	}
	m.left[id] = s
	m.note("server %s is gone", id)
	m.unregister(m.t, s)
}

// link cuts an entry VM off from the platform, or from its peers, or heals it.
func (m *mix) link() {
	i := m.rand.IntN(m.n)
	m.disturbed[i] = time.Now()
	if m.cut[i] {
		m.note("entry VM %d is whole again", i)
		m.net.cut(hostedHost(i), platformHost, false)
		m.reach(i, true)
		delete(m.cut, i)
		return
	}
	m.cut[i] = true
	if m.rand.IntN(2) == 0 {
		m.note("entry VM %d loses the platform", i)
		m.net.cut(hostedHost(i), platformHost, true)
		return
	}
	m.note("entry VM %d loses its peers", i)
	m.reach(i, false)
}

// reach cuts or heals the links between an entry VM and its peers.
func (m *mix) reach(i int, whole bool) {
	for k := range m.n {
		if k != i {
			m.net.cut(hostedHost(i), hostedHost(k), !whole)
			m.net.cut(hostedHost(k), hostedHost(i), !whole)
		}
	}
}

// lapseTime is how long the store keeps the entry of a server that no longer writes it.
const lapseTime = 3600 * time.Millisecond

// heartbeat has live servers write again what the store lacks, as they do about every second;
// entries of those that are gone lapse.
func (m *mix) heartbeat() {
	for _, id := range slices.Sorted(maps.Keys(m.left)) {
		if s := m.left[id]; s.Draining {
			m.register(m.t, s)
		} else if time.Since(m.back) > lapseTime {
			m.unregister(m.t, s)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		m.register(m.t, m.servers[id])
	}
}

// forward checks that no entry VM goes back to an earlier configuration than it served by.
func (m *mix) forward() {
	for i := range m.n {
		for v := m.newest; v > m.forced[i]; v-- {
			if m.serves(i, v) {
				m.forced[i] = v
				break
			}
		}
		if v := m.forced[i]; v > 0 && !m.serves(i, v) {
			m.t.Errorf("entry VM %d: got the configuration %d, which it had in force, no longer served, want it or a later one\n%v", i, v, m.told)
		}
	}
}

// whole reports whether an entry VM has been reached by all and not started again for long
// enough to know what the others do.
func (m *mix) whole(i int) bool {
	return !m.cut[i] && time.Since(m.disturbed[i]) > knownTime
}

// together checks that the configuration that one whole entry VM has in force is so at all of
// them, once there was time for it.
func (m *mix) together() {
	newest := int64(0)
	for i := range m.n {
		if m.whole(i) {
			newest = max(newest, m.forced[i])
		}
	}
	if newest < m.newest || time.Since(m.written) < inForceTime {
		return
	}
	for i := range m.n {
		if m.whole(i) && !m.serves(i, newest) {
			m.t.Errorf("entry VM %d: got the configuration %d, which others have in force, not served, want it\n%v", i, newest, m.told)
		}
	}
}

// knownTime is how long after a server left, or an entry VM was disturbed, the leave may be
// unknown there: an outage of the platform is noticed, and servers are asked or peers tell.
const knownTime = 4 * time.Second

// spare checks that entry VMs which are whole send nothing to servers that left.
func (m *mix) spare() {
	var known []api.ServerID
	for _, id := range slices.Sorted(maps.Keys(m.leftAt)) {
		if time.Since(m.leftAt[id]) > knownTime {
			known = append(known, id)
		}
	}
	m.sent.to()
	for i := range m.n {
		if !m.whole(i) {
			continue
		}
		for k := range 8 {
			m.ask(i, call(fmt.Sprint("spare-", i, k), "/always/", ""))
		}
	}
	if got := m.sent.to(known...); got > 0 {
		m.t.Errorf("requests to servers that left over %v ago: got %d, want none\n%v", knownTime, got, m.told)
	}
}

// settled heals all, and checks that every entry VM has what was written last.
func (m *mix) settled() {
	for i := range m.n {
		m.net.cut(hostedHost(i), platformHost, false)
		m.reach(i, true)
	}
	clear(m.cut)
	for range 6 {
		m.heartbeat()
		time.Sleep(time.Second)
	}
	m.note("calm")
	for i := range m.n {
		if !m.serves(i, m.newest) {
			m.t.Errorf("entry VM %d: got the newest configuration %d not in force, want it\n%v", i, m.newest, m.told)
		}
	}
	m.sent.to()
	m.load(m.n)
	if got := m.sent.to(slices.Collect(maps.Keys(m.left))...); got > 0 {
		m.t.Errorf("requests to servers that left: got %d, want none\n%v", got, m.told)
	}
}

func TestRestoresAmongOtherFaults(t *testing.T) {
	for seed := range *restoreSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const n = 6
				m := &mix{
					storeTestbed: newStoreTestbed(t, n), t: t, rand: rand.New(rand.NewPCG(seed, 1)), n: n, newest: 1,
					servers: map[api.ServerID]roster.Server{}, left: map[api.ServerID]roster.Server{}, leftAt: map[api.ServerID]time.Time{}, cut: map[int]bool{}, disturbed: map[int]time.Time{}, forced: map[int]int64{},
				}
				for i := range 4 {
					s := plainServer(fmt.Sprint(i+1), fmt.Sprintf("hall-%d", i%3))
					m.servers[s.ID] = s
				}
				for range 3 {
					for range 8 {
						m.step()
						m.heartbeat()
						time.Sleep(time.Duration(200+m.rand.IntN(1500)) * time.Millisecond)
						m.forward()
						m.together()
						m.spare()
					}
					// Operators write again what the platform may have lost.
					m.newest++
					m.configure(m.t, m.newest)
					m.settled()
				}
			})
		})
	}
}
