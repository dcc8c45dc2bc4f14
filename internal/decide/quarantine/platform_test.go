package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
)

// entries are objects of the platform that refuse contents for an hour.
func entries(l ...api.ContentHash) []quarantine.Entry {
	var e []quarantine.Entry
	for _, c := range l {
		e = append(e, quarantine.Entry{Content: c, Until: start.Add(time.Hour)})
	}
	return e
}

// What a copy lacks is refused still, and what it has though it was released is not.
func TestPlatformRestoredFromOlderCopy(t *testing.T) {
	tests := []struct {
		name string
		do   func(t *quarantine.Table)
		// refused of c, and what is to be written to and removed from the platform.
		refused          bool
		written, removed []api.ContentHash
	}{
		{"lost with the copy", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, entries("c"))
			t.ApplySnapshot(at(1000), 2, nil)
		}, true, []api.ContentHash{"c"}, nil},
		{"lost, beside another change", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, entries("c"))
			t.ApplySnapshot(at(1000), 2, nil)
			t.ApplySnapshot(at(1100), 2, entries("d"))
		}, true, []api.ContentHash{"c"}, nil},
		{"confirmed here and never seen on the platform", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, nil)
			recordCrash(t, 0, "c", "a")
			recordCrash(t, 10, "c", "b")
			t.Step(at(2000))
			t.ApplySnapshot(at(3000), 2, nil)
		}, true, []api.ContentHash{"c"}, nil},
		{"written again by another one", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, entries("c"))
			t.ApplySnapshot(at(1000), 2, nil)
			t.ApplySnapshot(at(1500), 2, entries("c"))
		}, true, nil, nil},
		{"written again and released", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, entries("c"))
			t.ApplySnapshot(at(1000), 2, nil)
			t.ApplySnapshot(at(1500), 2, entries("c"))
			t.ApplySnapshot(at(1600), 2, nil)
		}, false, nil, nil},
		{"released before, in the copy still", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, entries("c"))
			t.ApplySnapshot(at(500), 1, nil)
			t.ApplySnapshot(at(1000), 2, entries("c"))
			t.ApplySnapshot(at(1100), 2, entries("c", "d"))
		}, false, nil, []api.ContentHash{"c"}},
		{"released, removed, and refused anew", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, entries("c"))
			t.ApplySnapshot(at(500), 1, nil)
			t.ApplySnapshot(at(1000), 2, entries("c"))
			t.ApplySnapshot(at(1100), 2, nil)
			t.ApplySnapshot(at(1200), 2, entries("c"))
		}, true, nil, nil},
		{"lost twice", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, entries("c"))
			t.ApplySnapshot(at(1000), 2, nil)
			t.TakeCorrection(at(1100))
			t.ApplySnapshot(at(2000), 3, nil)
		}, true, []api.ContentHash{"c"}, nil},
		{"over when it was lost", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, []quarantine.Entry{{Content: "c", Until: at(900)}})
			t.ApplySnapshot(at(1000), 2, nil)
		}, false, nil, nil},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			q := quarantine.New()
			c.do(q)
			if _, got := q.Quarantined(at(5000), "c"); got != c.refused {
				t.Errorf("refused: got %v, want %v", got, c.refused)
			}
			x := q.TakeCorrection(at(5000))
			var written []api.ContentHash
			for _, e := range x.Write {
				written = append(written, e.Content)
			}
			if !slices.Equal(written, c.written) || !slices.Equal(x.Release, c.removed) {
				t.Errorf("got %v written and %v removed, want %v and %v", written, x.Release, c.written, c.removed)
			}
			if x := q.TakeCorrection(at(5100)); len(x.Write)+len(x.Release) > 0 {
				t.Errorf("again: got %+v, want nothing", x)
			}
			if _, got := q.Quarantined(at(5200), "c"); got != c.refused {
				t.Errorf("refused after that: got %v, want %v", got, c.refused)
			}
		})
	}
}
