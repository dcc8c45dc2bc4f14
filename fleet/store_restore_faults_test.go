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

// scenario plays a drawn course of restores, cuts, restarts and changes over a fleet, and knows
// what operators and servers last wrote.
type scenario struct {
	*storeTestbed
	t       *testing.T
	rand    *rand.Rand
	vmCount int
	// newestConfig is the configuration that was confirmed last.
	newestConfig int64
	configuredAt time.Time
	backups      []hosted.Backup
	// servers are those that live, with what they last wrote; left are those that ended or
	// said that they will.
	servers    map[api.ServerID]roster.Server
	departed   map[api.ServerID]roster.Server
	departedAt map[api.ServerID]time.Time
	added      int
	// restoredAt is when the platform last came restoredAt from a copy.
	restoredAt time.Time
	// isolated holds the entry VMs that the platform or peers don't reach, and disturbed when each
	// was last isolated, healed or started.
	isolated    map[int]bool
	disturbedAt map[int]time.Time
	// servedConfig is the newest configuration that each entry VM was seen to serve by.
	servedConfig map[int]int64
	// history is the course so far.
	history []string
}

// logf adds to the course.
func (m *scenario) logf(format string, a ...any) {
	m.history = append(m.history, fmt.Sprintf(format, a...))
}

// step makes one drawn change.
func (m *scenario) step() {
	switch m.rand.IntN(8) {
	case 0, 1:
		m.newestConfig++
		m.logf("configuration %d", m.newestConfig)
		m.configure(m.t, m.newestConfig)
		m.configuredAt = time.Now()
	case 2:
		m.logf("copy %d", len(m.backups))
		m.backups = append(m.backups, m.store.Backup())
	case 3:
		m.restoreRandomBackup()
	case 4:
		m.removeServer()
	case 5:
		m.added++
		s := plainServer(fmt.Sprint(100+m.added), fmt.Sprintf("hall-%d", m.added%3))
		m.logf("server %s starts", s.ID)
		m.servers[s.ID] = s
		m.register(m.t, s)
	case 6:
		m.toggleLinks()
	case 7:
		i := m.rand.IntN(m.vmCount)
		m.logf("entry VM %d restarts", i)
		m.stops[i]()
		m.start(i)
		m.disturbedAt[i] = time.Now()
		delete(m.servedConfig, i)
	}
}

// restoreRandomBackup has the platform come back from a copy of the last seconds, noticed or not.
func (m *scenario) restoreRandomBackup() {
	if len(m.backups) == 0 {
		return
	}
	k := len(m.backups) - 1 - m.rand.IntN(min(2, len(m.backups)))
	outage := time.Duration(m.rand.IntN(3)) * time.Second
	m.logf("back from copy %d after %v", k, outage)
	if outage > 0 {
		m.endpoint.SetOutcome(hosted.Disconnected, 0)
		time.Sleep(outage)
	}
	m.store.Restore(m.backups[k])
	m.endpoint.SetOutcome(hosted.Answered, 0)
	// None of an earlier era is used again.
	m.backups = m.backups[:0]
	m.restoredAt = time.Now()
}

// removeServer has a server say that it leaves, or go without a word.
func (m *scenario) removeServer() {
	if len(m.servers) < 4 {
		return
	}
	ids := slices.Sorted(maps.Keys(m.servers))
	id := ids[m.rand.IntN(len(ids))]
	s := m.servers[id]
	delete(m.servers, id)
	m.departedAt[id] = time.Now()
	if m.rand.IntN(2) == 0 {
		m.logf("server %s drains", id)
		s.Draining = true
		m.departed[id] = s
		m.register(m.t, s)
		return
	}
	m.departed[id] = s
	m.logf("server %s is gone", id)
	m.unregister(m.t, s)
}

// toggleLinks cuts an entry VM off from the platform, or from its peers, or heals it.
func (m *scenario) toggleLinks() {
	i := m.rand.IntN(m.vmCount)
	m.disturbedAt[i] = time.Now()
	if m.isolated[i] {
		m.logf("entry VM %d is whole again", i)
		m.net.cut(hostedHost(i), platformHost, false)
		m.connectPeers(i, true)
		delete(m.isolated, i)
		return
	}
	m.isolated[i] = true
	if m.rand.IntN(2) == 0 {
		m.logf("entry VM %d loses the platform", i)
		m.net.cut(hostedHost(i), platformHost, true)
		return
	}
	m.logf("entry VM %d loses its peers", i)
	m.connectPeers(i, false)
}

// connectPeers cuts or heals the links between an entry VM and its peers.
func (m *scenario) connectPeers(i int, connected bool) {
	for k := range m.vmCount {
		if k != i {
			m.net.cut(hostedHost(i), hostedHost(k), !connected)
			m.net.cut(hostedHost(k), hostedHost(i), !connected)
		}
	}
}

// entryTTL is how long the store keeps the entry of a server that no longer writes it.
const entryTTL = 3600 * time.Millisecond

// heartbeat has live servers write again what the store lacks, as they do about every second;
// entries of those that are gone lapse.
func (m *scenario) heartbeat() {
	for _, id := range slices.Sorted(maps.Keys(m.departed)) {
		if s := m.departed[id]; s.Draining {
			m.register(m.t, s)
		} else if time.Since(m.restoredAt) > entryTTL {
			m.unregister(m.t, s)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.servers)) {
		m.register(m.t, m.servers[id])
	}
}

// checkNoRollback checks that no entry VM goes back to an earlier configuration than it served by.
func (m *scenario) checkNoRollback() {
	for i := range m.vmCount {
		for v := m.newestConfig; v > m.servedConfig[i]; v-- {
			if m.serves(i, v) {
				m.servedConfig[i] = v
				break
			}
		}
		if v := m.servedConfig[i]; v > 0 && !m.serves(i, v) {
			m.t.Errorf("entry VM %d: got the configuration %d, which it had in force, no longer served, want it or a later one\n%v", i, v, m.history)
		}
	}
}

// isStable reports whether an entry VM has been reached by all and not started again for long
// enough to know what the others do.
func (m *scenario) isStable(i int) bool {
	return !m.isolated[i] && time.Since(m.disturbedAt[i]) > maxPropagation
}

// checkSameConfig checks that the configuration that one whole entry VM has in force is so at all of
// them, once there was time for it.
func (m *scenario) checkSameConfig() {
	newest := int64(0)
	for i := range m.vmCount {
		if m.isStable(i) {
			newest = max(newest, m.servedConfig[i])
		}
	}
	if newest < m.newestConfig || time.Since(m.configuredAt) < maxHostedChangeDelay {
		return
	}
	for i := range m.vmCount {
		if m.isStable(i) && !m.serves(i, newest) {
			m.t.Errorf("entry VM %d: got the configuration %d, which others have in force, not served, want it\n%v", i, newest, m.history)
		}
	}
}

// maxPropagation is how long after a server left, or an entry VM was disturbed, the leave may be
// unknown there: an outage of the platform is noticed, and servers are asked or peers tell.
const maxPropagation = 4 * time.Second

// checkDepartedUnused checks that entry VMs which are whole send nothing to servers that left.
func (m *scenario) checkDepartedUnused() {
	var known []api.ServerID
	for _, id := range slices.Sorted(maps.Keys(m.departedAt)) {
		if time.Since(m.departedAt[id]) > maxPropagation {
			known = append(known, id)
		}
	}
	m.sent.takeCount()
	for i := range m.vmCount {
		if !m.isStable(i) {
			continue
		}
		for k := range 8 {
			m.send(i, newRequest(fmt.Sprint("spare-", i, k), "/always/", ""))
		}
	}
	if got := m.sent.takeCount(known...); got > 0 {
		m.t.Errorf("requests to servers that left over %v ago: got %d, want none\n%v", maxPropagation, got, m.history)
	}
}

// checkRecovery heals all, and checks that every entry VM has what was written last.
func (m *scenario) checkRecovery() {
	for i := range m.vmCount {
		m.net.cut(hostedHost(i), platformHost, false)
		m.connectPeers(i, true)
	}
	clear(m.isolated)
	for range 6 {
		m.heartbeat()
		time.Sleep(time.Second)
	}
	m.logf("calm")
	for i := range m.vmCount {
		if !m.serves(i, m.newestConfig) {
			m.t.Errorf("entry VM %d: got the newest configuration %d not in force, want it\n%v", i, m.newestConfig, m.history)
		}
	}
	m.sent.takeCount()
	m.sendRequests(m.vmCount)
	if got := m.sent.takeCount(slices.Collect(maps.Keys(m.departed))...); got > 0 {
		m.t.Errorf("requests to servers that left: got %d, want none\n%v", got, m.history)
	}
}

func TestStoreRestoresWithOtherFaults(t *testing.T) {
	for seed := range *restoreSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const n = 6
				m := &scenario{
					storeTestbed: newStoreTestbed(t, n), t: t, rand: rand.New(rand.NewPCG(seed, 1)), vmCount: n, newestConfig: 1,
					servers: map[api.ServerID]roster.Server{}, departed: map[api.ServerID]roster.Server{}, departedAt: map[api.ServerID]time.Time{}, isolated: map[int]bool{}, disturbedAt: map[int]time.Time{}, servedConfig: map[int]int64{},
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
						m.checkNoRollback()
						m.checkSameConfig()
						m.checkDepartedUnused()
					}
					// Operators write again what the platform may have lost.
					m.newestConfig++
					m.configure(m.t, m.newestConfig)
					m.checkRecovery()
				}
			})
		})
	}
}
