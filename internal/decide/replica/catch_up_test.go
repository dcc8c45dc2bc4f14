package replica_test

import (
	"slices"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/replica"
)

// Guards against a snapshot of several calls that holds some objects as they were before a change, and others as they were after.
func TestTornSnapshotCatchesUp(t *testing.T) {
	write := func(n string, v api.Version) replica.Change[string] {
		return replica.Change[string]{Object: object(n, v, "written")}
	}
	remove := func(n string, v api.Version) replica.Change[string] {
		return replica.Change[string]{Object: object(n, v, ""), Removed: true}
	}
	for _, c := range []struct {
		name    string
		changes replica.Changes[string]
		want    []replica.Object[string]
		torn    bool
	}{
		{"written before it was read", replica.Changes[string]{At: 14, Items: []replica.Change[string]{write("b", 12)}}, []replica.Object[string]{object("a", 5, "read"), object("b", 12, "read")}, false},
		{"written after it was read", replica.Changes[string]{At: 14, Items: []replica.Change[string]{write("a", 13)}}, []replica.Object[string]{object("a", 13, "written"), object("b", 12, "read")}, false},
		{"removed after it was read", replica.Changes[string]{At: 14, Items: []replica.Change[string]{remove("a", 13)}}, []replica.Object[string]{object("b", 12, "read")}, false},
		{"removed with its own version", replica.Changes[string]{At: 14, Items: []replica.Change[string]{remove("a", 5)}}, []replica.Object[string]{object("b", 12, "read")}, false},
		{"removed and created again before it was read", replica.Changes[string]{At: 14, Items: []replica.Change[string]{remove("b", 11), write("b", 12)}}, []replica.Object[string]{object("a", 5, "read"), object("b", 12, "read")}, false},
		{"created and removed", replica.Changes[string]{At: 14, Items: []replica.Change[string]{write("c", 11), remove("c", 13)}}, []replica.Object[string]{object("a", 5, "read"), object("b", 12, "read")}, false},
		{"a part of the changes", replica.Changes[string]{At: 11, Items: []replica.Change[string]{write("c", 11)}}, []replica.Object[string]{object("a", 5, "read"), object("b", 12, "read"), object("c", 11, "written")}, true},
		{"no changes of the kind", replica.Changes[string]{At: 10}, []replica.Object[string]{object("a", 5, "read"), object("b", 12, "read")}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := replica.Snapshot[string]{At: 10, Through: 14, Items: []replica.Object[string]{object("a", 5, "read"), object("b", 12, "read")}}
			if !s.Torn() {
				t.Error("snapshot of several calls: got it whole, want it torn")
			}
			s = s.CatchUp(c.changes)
			if !slices.Equal(s.Items, c.want) {
				t.Errorf("objects: got %v, want %v", s.Items, c.want)
			}
			if got := s.Torn(); got != c.torn || s.At != c.changes.At {
				t.Errorf("got torn %v at %v, want torn %v at %v", got, s.At, c.torn, c.changes.At)
			}
		})
	}
	s := replica.Snapshot[string]{At: 10, Through: 14, Retained: []string{"u", "v", "w"}}
	s = s.CatchUp(replica.Changes[string]{At: 14, Items: []replica.Change[string]{write("u", 12), remove("v", 13)}})
	if want := []string{"w"}; !slices.Equal(s.Retained, want) {
		t.Errorf("retained: got %v, want %v", s.Retained, want)
	}
}
