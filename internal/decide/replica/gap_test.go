package replica_test

import (
	"fmt"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/replica"
)

// Guards against an object that stays at a peer for ever, since its replica has skipped the versions in which it came and went.
func TestObjectThatCameAndWentInAGapIsRemovedAtPeers(t *testing.T) {
	list := func(at api.Version, names ...string) *replica.Store[string] {
		s := replica.New[string]()
		s.Replace(replica.Snapshot[string]{At: 1, Items: []replica.Object[string]{object("old", 1, "")}})
		l := replica.Snapshot[string]{At: at}
		for _, n := range names {
			l.Items = append(l.Items, object(n, 2, ""))
		}
		l.Items = append(l.Items, object("old", 1, ""))
		s.Replace(l)
		return s
	}
	for _, c := range []struct {
		name  string
		relay func(s *replica.Store[string]) *replica.Store[string]
	}{
		{"from the replica itself", func(s *replica.Store[string]) *replica.Store[string] { return s }},
		{"through another peer", func(s *replica.Store[string]) *replica.Store[string] {
			b := replica.New[string]()
			b.Replace(replica.Snapshot[string]{At: 1, Items: []replica.Object[string]{object("old", 1, "")}})
			b.Merge(s.Since(b.At()))
			return b
		}},
		{"through a peer that did not know it", func(s *replica.Store[string]) *replica.Store[string] {
			b := list(3)
			b.Apply(replica.Changes[string]{At: 6, Items: []replica.Change[string]{{Object: object("brief", 6, ""), Removed: true}}})
			return b
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			peer := list(4, "brief")
			if d := c.relay(list(6)).Since(peer.At()); !peer.Merge(d) {
				t.Errorf("delta from version %d: got no change, want one", d.From)
			}
			if got := fmt.Sprint(peer.Snapshot().Items); got != fmt.Sprint(list(6).Snapshot().Items) {
				t.Errorf("objects at the peer: got %s, want the old one alone", got)
			}
			pushed := list(4, "brief")
			pushed.Merge(list(6).Since(1))
			if l := pushed.Snapshot().Items; pushed.At() != 4 || len(l) != 2 {
				t.Errorf("delta that skips the peer's version: got %v at %d, want it dropped at 4", l, pushed.At())
			}
		})
	}
}

// Guards against peers that are sent all objects where the changes suffice, after the replica that they follow has read a list.
func TestPeersOfReplicaThatListsGetDeltas(t *testing.T) {
	s, peer := replica.New[string](), replica.New[string]()
	at := func(v api.Version) replica.Snapshot[string] {
		return replica.Snapshot[string]{At: v, Items: []replica.Object[string]{object("a", 1, ""), object("b", v, "")}}
	}
	s.Replace(at(1))
	peer.Merge(s.Since(0))
	for v := api.Version(10); v < 3000; v += 10 {
		s.Replace(at(v))
		d := s.Since(peer.At())
		if d.From == 0 || len(d.Items) != 1 {
			t.Fatalf("delta from version %d to %d: got one from %d with %d items, want the change alone", peer.At(), v, d.From, len(d.Items))
		}
		if !peer.Merge(d) {
			t.Fatalf("delta to version %d: got no change, want one", v)
		}
	}
	if d := s.Since(5); d.From != 0 {
		t.Errorf("delta for a peer in a forgotten gap: got one from %d, want all objects", d.From)
	}
	if d := s.Since(1); d.From != 0 && len(d.Gaps) > 100 {
		t.Errorf("gaps: got %d, want a bounded number", len(d.Gaps))
	}
}
