package node

import (
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/rollout"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/mirror"
)

// Shares of the time within which a change has to be in force: configWaitShare and
// serverWaitShare bound the wait of one watch of the configuration and of the servers,
// and answerTimeShare bounds the time that its answer takes beyond the wait. A platform that
// does not respond is detected when a watch does not end. The wait for servers is the
// shorter one because they leave at short notice.
const (
	configWaitShare = 0.5
	serverWaitShare = 0.25
	answerTimeShare = 0.2
)

// quarantineWatchWait bounds the wait of one watch of the quarantined contents. It may be
// long: peers report the failures that lead to a quarantine within a second or two, so a
// watch that gets no answer does no harm.
const quarantineWatchWait = 10 * time.Second

// newMirrors creates the mirrors of the platform's objects.
func (h *HostedContext) newMirrors() {
	s := h.Settings.Gateway
	apply := s.ApplyMS.Duration()
	timing := func(share float64) mirror.Timing {
		return mirror.Timing{Wait: time.Duration(share * float64(apply)), Slack: time.Duration(answerTimeShare * float64(apply))}
	}
	d := h.listDelay()
	h.config = mirror.New(mirror.Options[directory.Config]{
		Name: "config", Source: h.adapter.Config, Log: h.Log, Metrics: h.Metrics, Timing: timing(configWaitShare), ListDelay: d,
		OnSnapshot: h.applyConfig, HasRelay: h.hasRelay, BacksOff: h.backsOff, ReadsLongLists: h.readsLongLists, LostChanged: func(bool) {}, DirectChanged: h.checkFollowing,
	})
	h.servers = mirror.New(mirror.Options[roster.Server]{
		Name: "servers", Source: h.adapter.Servers, Log: h.Log, Metrics: h.Metrics, Timing: timing(serverWaitShare), ListDelay: d,
		OnUpdate: h.applyServers, HasRelay: h.hasRelay, BacksOff: h.backsOff, ReadsLongLists: h.readsLongLists, LostChanged: h.setPlatformLost, DirectChanged: h.checkFollowing,
	})
	if c := s.CloseMS.Duration(); c > 0 {
		h.closures = mirror.New(mirror.Options[roster.Closure]{
			Name: "closures", Source: h.adapter.Closures, Log: h.Log, Metrics: h.Metrics, ListDelay: d,
			Timing:     mirror.Timing{Wait: time.Duration(configWaitShare * float64(c)), Slack: time.Duration(answerTimeShare * float64(c))},
			OnSnapshot: h.applyClosures, HasRelay: h.hasRelay, BacksOff: h.backsOff, ReadsLongLists: h.readsLongLists, LostChanged: func(bool) {}, DirectChanged: h.checkFollowing,
		})
	}
	if b := s.RollbackMS.Duration(); b > 0 {
		h.rollouts = mirror.New(mirror.Options[rollout.Order]{
			Name: "rollouts", Source: h.adapter.Rollouts, Log: h.Log, Metrics: h.Metrics, ListDelay: d,
			Timing:     mirror.Timing{Wait: time.Duration(configWaitShare * float64(b)), Slack: time.Duration(answerTimeShare * float64(b))},
			OnSnapshot: h.applyRollouts, HasRelay: h.hasRelay, BacksOff: h.backsOff, ReadsLongLists: h.readsLongLists, LostChanged: func(bool) {}, DirectChanged: h.checkFollowing,
		})
	}
	if h.adapter.QuarantineSource != nil {
		h.quarantines = mirror.New(mirror.Options[quarantine.Entry]{
			Name: "quarantines", Source: h.adapter.QuarantineSource, Log: h.Log, Metrics: h.Metrics, ListDelay: firstListDelay,
			Timing:     mirror.Timing{Wait: quarantineWatchWait, Slack: time.Duration(answerTimeShare * float64(quarantineWatchWait))},
			OnSnapshot: h.applyQuarantines, HasRelay: h.hasRelay, BacksOff: h.backsOff, ReadsLongLists: h.readsLongLists, LostChanged: func(bool) {},
		})
	}
}

// wakeMirrors makes the mirrors call the platform at once, unless a hub relays its changes.
func (h *HostedContext) wakeMirrors() {
	h.config.Wake()
	h.servers.Wake()
	if h.closures != nil {
		h.closures.Wake()
	}
	if h.rollouts != nil {
		h.rollouts.Wake()
	}
	if h.quarantines != nil {
		h.quarantines.Wake()
	}
}

// readsLongLists reports whether this entry VM reads long lists for others.
func (h *HostedContext) readsLongLists() bool {
	return h.mesh.ReadsAll()
}

// firstListDelay is how long an entry VM waits for peers before it lists the platform's
// objects itself, at the first start of the whole system. The seed VMs in the settings
// list at once; the hubs of each failure domain are known after 1.5 s and have
// updated the VMs of their domain a second later.
const firstListDelay = 3 * time.Second

// listDelay returns how long to wait for peers before the first list of the platform's
// objects. It is 0 on any start but the first of the whole system, since callers may be
// waiting, and 0 for seed VMs.
func (h *HostedContext) listDelay() time.Duration {
	l := splitList(h.Settings.Gateway.Seeds)
	if !h.Settings.Gateway.FirstStart || len(l) == 0 || slices.Contains(l, h.Settings.Node.Control) {
		return 0
	}
	return firstListDelay
}

// applyConfig passes a configuration to the gateway and notifies the peers that get
// updates from this entry VM.
func (h *HostedContext) applyConfig(s replica.Snapshot[directory.Config]) {
	h.gateway.Configure(s)
	h.notifyPeers()
}

// applyServers passes changes of the backend servers to the gateway and notifies the peers that get
// updates from this entry VM.
func (h *HostedContext) applyServers(u replica.Update[roster.Server]) {
	h.gateway.UpdateServers(u)
	h.notifyPeers()
}

// applyClosures passes the failure domains that are closed to new work to the gateway
// and notifies the peers that get updates from this entry VM.
func (h *HostedContext) applyClosures(s replica.Snapshot[roster.Closure]) {
	h.gateway.SetClosures(s)
	h.notifyPeers()
}

// applyRollouts passes the orders to roll out versions to the gateway and notifies the peers
// that get updates from this entry VM.
func (h *HostedContext) applyRollouts(s replica.Snapshot[rollout.Order]) {
	h.gateway.SetRollouts(s)
	h.notifyPeers()
}

// applyQuarantines passes the quarantined contents in the platform's store to the
// gateway and notifies the peers that get updates from this entry VM.
func (h *HostedContext) applyQuarantines(s replica.Snapshot[quarantine.Entry]) {
	h.gateway.SetQuarantines(s)
	h.notifyPeers()
}
