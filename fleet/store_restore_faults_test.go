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

// restoreSeeds is the number of random scenarios that TestStoreRestoresWithOtherFaults runs.
var restoreSeeds = flag.Uint64("restore-seeds", 12, "number of random scenarios of restores with other faults")

// scenario runs a random sequence of restores, cuts, restarts and changes on a hosted fleet,
// and records what operators and servers last wrote.
type scenario struct {
	*storeTestbed
	t       *testing.T
	rand    *rand.Rand
	vmCount int
	// newestConfig is the version of the configuration that was confirmed last, and
	// configuredAt when it was written.
	newestConfig int64
	configuredAt time.Time
	backups      []hosted.Backup
	// servers are the live servers with their last entries; departed are those that ended
	// or announced it, and departedAt when they did.
	servers    map[api.ServerID]roster.Server
	departed   map[api.ServerID]roster.Server
	departedAt map[api.ServerID]time.Time
	added      int
	// restoredAt is when the platform was last restored from a backup.
	restoredAt time.Time
	// isolated holds the entry VMs that are cut off from the platform or from peers, and
	// disturbedAt when each was last cut off, reconnected or started.
	isolated    map[int]bool
	disturbedAt map[int]time.Time
	// servedConfig is the newest configuration that each entry VM was seen to serve.
	servedConfig map[int]int64
	// history lists the steps so far; it is printed with failures.
	history []string
}

// logf adds a step to the history.
func (m *scenario) logf(format string, a ...any) {
	m.history = append(m.history, fmt.Sprintf(format, a...))
}

// step makes one random change.
func (m *scenario) step() {
	switch m.rand.IntN(8) {
	case 0, 1:
		m.newestConfig++
		m.logf("configuration %d", m.newestConfig)
		m.configure(m.t, m.newestConfig)
		m.configuredAt = time.Now()
	case 2:
		m.logf("backup %d", len(m.backups))
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

// restoreRandomBackup restores the platform from one of the last two backups, either at once,
// so that no call fails, or after an outage.
func (m *scenario) restoreRandomBackup() {
	if len(m.backups) == 0 {
		return
	}
	k := len(m.backups) - 1 - m.rand.IntN(min(2, len(m.backups)))
	outage := time.Duration(m.rand.IntN(3)) * time.Second
	m.logf("restore of backup %d after %v", k, outage)
	if outage > 0 {
		m.endpoint.SetOutcome(hosted.Disconnected, 0)
		time.Sleep(outage)
	}
	m.store.Restore(m.backups[k])
	m.endpoint.SetOutcome(hosted.Answered, 0)
	// No backup from before the restore is used again.
	m.backups = m.backups[:0]
	m.restoredAt = time.Now()
}

// removeServer makes a random server announce that it drains, or end without notice.
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

// toggleLinks cuts a random entry VM off from the platform or from its peers, or reconnects
// it if it was cut off.
func (m *scenario) toggleLinks() {
	i := m.rand.IntN(m.vmCount)
	m.disturbedAt[i] = time.Now()
	if m.isolated[i] {
		m.logf("entry VM %d is reconnected", i)
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

// connectPeers cuts or restores the links between an entry VM and its peers.
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

// heartbeat makes live and draining servers write their entries again, which a restore may
// have lost; they do so about every second. Entries of ended servers lapse entryTTL after a
// restore.
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

// checkNoRollback checks that no entry VM returns to an earlier configuration than the newest
// that it served.
func (m *scenario) checkNoRollback() {
	for i := range m.vmCount {
		for v := m.newestConfig; v > m.servedConfig[i]; v-- {
			if m.serves(i, v) {
				m.servedConfig[i] = v
				break
			}
		}
		if v := m.servedConfig[i]; v > 0 && !m.serves(i, v) {
			m.t.Errorf("entry VM %d: got configuration %d, which it had in force, no longer served, want it or a later one\n%v", i, v, m.history)
		}
	}
}

// isStable reports whether an entry VM has been connected and running for long enough to know
// what its peers know.
func (m *scenario) isStable(i int) bool {
	return !m.isolated[i] && time.Since(m.disturbedAt[i]) > maxPropagation
}

// checkSameConfig checks that the newest configuration, once one stable entry VM has it in
// force, is in force on all stable ones after maxHostedChangeDelay.
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
			m.t.Errorf("entry VM %d: got configuration %d, which others have in force, not served, want it\n%v", i, newest, m.history)
		}
	}
}

// maxPropagation is how long an entry VM may not know that a server left, after the leave or
// after the entry VM was disturbed: it has to notice an outage of the platform, and to query
// the servers or get a notice from a peer.
const maxPropagation = 4 * time.Second

// checkDepartedUnused checks that stable entry VMs send nothing to servers that left longer
// than maxPropagation ago.
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

// checkRecovery reconnects all entry VMs, and checks that each serves the newest configuration
// and sends nothing to servers that left.
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
	m.logf("all links restored")
	for i := range m.vmCount {
		if !m.serves(i, m.newestConfig) {
			m.t.Errorf("entry VM %d: got the newest configuration %d not in force, want it in force\n%v", i, m.newestConfig, m.history)
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
					// Operators write a new configuration, since the platform may have lost the last.
					m.newestConfig++
					m.configure(m.t, m.newestConfig)
					m.checkRecovery()
				}
			})
		})
	}
}
