package sequence_test

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/wardridge/wardridge/internal/decide/sequence"
)

func TestTake(t *testing.T) {
	tests := []struct {
		name    string
		before  []string
		resumed bool
		id      string
		want    sequence.Verdict
	}{
		{"first event", nil, false, "1", sequence.Deliver},
		{"next event", []string{"1"}, false, "2", sequence.Deliver},
		{"ids that rise by more", []string{"4", "8"}, false, "12", sequence.Deliver},
		{"same event after a resume", []string{"1", "2"}, true, "2", sequence.Drop},
		{"older event after a resume", []string{"1", "2"}, true, "1", sequence.Drop},
		{"next event after a resume", []string{"1", "2"}, true, "3", sequence.Deliver},
		{"event missing after a resume", []string{"1", "2"}, true, "4", sequence.Gap},
		{"next event with larger steps after a resume", []string{"4", "8"}, true, "12", sequence.Deliver},
		{"event missing with larger steps after a resume", []string{"4", "8"}, true, "16", sequence.Gap},
		{"id that is not a number", []string{"a"}, true, "b", sequence.Deliver},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			var s sequence.Sequence
			for _, id := range c.before {
				s.Accept(id)
			}
			if c.resumed {
				s.Resume()
			}
			if got := s.Accept(c.id); got != c.want {
				t.Errorf("Accept(%s): got %v, want %v", c.id, got, c.want)
			}
		})
	}
}

// Whichever events are repeated after a resume, the caller gets 1, 2, 3 and so on.
func TestCallerGetsEachEventOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s sequence.Sequence
		want := int64(1)
		next := int64(1)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			if want > 1 && rapid.IntRange(0, 5).Draw(t, "resume") == 0 {
				s.Resume()
				next = max(1, next+int64(rapid.IntRange(-4, 2).Draw(t, "jump")))
			}
			switch s.Accept(strconv.FormatInt(next, 10)) {
			case sequence.Deliver:
				if next != want {
					t.Fatalf("delivered: got %d, want %d", next, want)
				}
				want++
			case sequence.Gap:
				if next <= want {
					t.Fatalf("gap: got %d, want only above %d", next, want)
				}
				return
			case sequence.Drop:
				if next >= want {
					t.Fatalf("dropped: got %d, want only below %d", next, want)
				}
			}
			next++
		}
	})
}
