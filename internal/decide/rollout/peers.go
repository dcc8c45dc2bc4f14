package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
)

// Note is what entry VMs tell each other of a rollout besides evidence.
type Note struct {
	Rollout api.RolloutID
	// Age is the time since the order was given.
	Age time.Duration
	// Stopped is set once the target version was found bad.
	Stopped bool
}

// Notes lists the notes on the rollouts whose final state the store does not have yet, in order
// of their ids.
func (t *Tracker) Notes(now time.Time) []Note {
	var l []Note
	for _, r := range t.rollouts {
		if !r.withdrawn && !r.Recorded.Final() {
			l = append(l, Note{Rollout: r.ID, Age: r.age(now), Stopped: r.result == RolledBack})
		}
	}
	slices.SortFunc(l, func(a, b Note) int { return cmp.Compare(a.Rollout, b.Rollout) })
	return l
}

// MergeNotes adds the notes of a peer, and returns the orders whose target version this stops.
func (t *Tracker) MergeNotes(now time.Time, l []Note) []Order {
	var stopped []Order
	for _, n := range l {
		r, ok := t.find(n.Rollout)
		if !ok {
			continue
		}
		if s := now.Add(-n.Age); s.Before(r.startedAt) {
			r.startedAt = s
		}
		if n.Stopped && !r.result.Final() {
			r.result = RolledBack
			stopped = append(stopped, r.Order)
		}
	}
	return stopped
}

func (t *Tracker) find(id api.RolloutID) (*rollout, bool) {
	for _, r := range t.rollouts {
		if r.ID == id {
			return r, true
		}
	}
	return nil, false
}

// Report lists the evidence for a peer: the local one for the primary hub, and that of the
// attached entry VMs too for another hub. Others get none.
func (t *Tracker) Report(now time.Time, p placement.Relation) []Evidence {
	if p != placement.Primary && p != placement.Hub {
		return nil
	}
	var l []Evidence
	for s := range t.rollouts {
		if r, ok := t.active(s); ok {
			e := r.total(now, func(x peerReport) bool { return p == placement.Hub && x.relation == placement.Attached })
			l = append(l, e.report(r.ID)...)
		}
	}
	return l
}

// Merge records the evidence that a peer reports, in place of what it reported before.
func (t *Tracker) Merge(now time.Time, vm api.VMName, p placement.Relation, l []Evidence) {
	if p != placement.Attached && p != placement.Hub {
		return
	}
	reported := map[api.RolloutID]evidence{}
	for _, x := range l {
		if !x.Stats.valid() {
			continue
		}
		e := reported[x.Rollout]
		if e == nil {
			e = evidence{}
			reported[x.Rollout] = e
		}
		e[cohort{x.Route, x.Target}] = x.Stats
	}
	for id, e := range reported {
		if r, ok := t.find(id); ok {
			r.peers[vm] = peerReport{at: now, relation: p, evidence: e}
		}
	}
}
