package replica_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/replica"
)

func object(n string, v api.Version, x string) replica.Object[string] {
	return replica.Object[string]{Name: n, Version: v, Value: x}
}

func value(s *replica.Store[string], n string) string {
	for _, o := range s.Snapshot().Items {
		if o.Name == n {
			return o.Value
		}
	}
	return ""
}

func TestOlderWordIsDropped(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *replica.Store[string])
		want string
	}{
		{"older list", func(s *replica.Store[string]) {
			s.Replace(replica.Snapshot[string]{At: 4, Items: []replica.Object[string]{object("a", 4, "old")}})
		}, "new"},
		{"older change", func(s *replica.Store[string]) {
			s.Apply(replica.Changes[string]{At: 6, Items: []replica.Change[string]{{Object: object("a", 3, "old")}}})
		}, "new"},
		{"older removal", func(s *replica.Store[string]) {
			s.Apply(replica.Changes[string]{At: 6, Items: []replica.Change[string]{{Object: object("a", 3, ""), Gone: true}}})
		}, "new"},
		{"removal", func(s *replica.Store[string]) {
			s.Apply(replica.Changes[string]{At: 6, Items: []replica.Change[string]{{Object: object("a", 5, ""), Gone: true}}})
		}, ""},
		{"newer list with an unreadable object", func(s *replica.Store[string]) {
			s.Replace(replica.Snapshot[string]{At: 7, Kept: []string{"a"}})
		}, "new"},
		{"newer list without it", func(s *replica.Store[string]) { s.Replace(replica.Snapshot[string]{At: 7}) }, ""},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			s := replica.New[string]()
			s.Replace(replica.Snapshot[string]{At: 5, Items: []replica.Object[string]{object("a", 5, "new")}})
			c.do(s)
			if got := value(s, "a"); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// Lists and changes in any order, old and doubled ones among them, never take
// the store or an object that stays back.
func TestNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := replica.New[string]()
		at, version := api.Version(0), api.Version(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			v := api.Version(rapid.IntRange(1, 30).Draw(t, "version"))
			if rapid.Bool().Draw(t, "list") {
				s.Replace(replica.Snapshot[string]{At: v, Items: []replica.Object[string]{object("a", v, "")}})
			} else {
				s.Apply(replica.Changes[string]{At: v, Items: []replica.Change[string]{{Object: object("a", v, "")}}})
			}
			if s.At() < at {
				t.Fatalf("store went from %d to %d", at, s.At())
			}
			at = s.At()
			l := s.Snapshot().Items
			if len(l) != 1 || l[0].Version < version {
				t.Fatalf("object: got %v, want one at %d or later", l, version)
			}
			version = l[0].Version
		}
	})
}
