package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
)

// entries returns platform objects that quarantine contents for an hour.
func entries(l ...api.ContentHash) []quarantine.Entry {
	var e []quarantine.Entry
	for _, c := range l {
		e = append(e, quarantine.Entry{Content: c, Until: start.Add(time.Hour)})
	}
	return e
}

// After the platform is restored from a backup, contents that the backup lacks stay
// quarantined, and released contents that it still has stay released.
func TestPlatformRestoredFromOlderCopy(t *testing.T) {
	tests := []struct {
		name string
		do   func(t *quarantine.Table)
		// quarantined is the expected state of content c; written and removed are the expected
		// corrections of the platform.
		quarantined      bool
		written, removed []api.ContentHash
	}{
		{"lost in the restore", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, entries("c"))
			t.ApplySnapshot(at(1000), 2, nil)
		}, true, []api.ContentHash{"c"}, nil},
		{"lost in the restore, then another change", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, entries("c"))
			t.ApplySnapshot(at(1000), 2, nil)
			t.ApplySnapshot(at(1100), 2, entries("d"))
		}, true, []api.ContentHash{"c"}, nil},
		{"confirmed here but never stored on the platform", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, nil)
			recordCrash(t, 0, "c", "a")
			recordCrash(t, 10, "c", "b")
			t.Step(at(2000))
			t.ApplySnapshot(at(3000), 2, nil)
		}, true, []api.ContentHash{"c"}, nil},
		{"written again by another entry VM", func(t *quarantine.Table) {
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
		{"released before the restore, still in the copy", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, entries("c"))
			t.ApplySnapshot(at(500), 1, nil)
			t.ApplySnapshot(at(1000), 2, entries("c"))
			t.ApplySnapshot(at(1100), 2, entries("c", "d"))
		}, false, nil, []api.ContentHash{"c"}},
		{"released, removed, and quarantined anew", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, entries("c"))
			t.ApplySnapshot(at(500), 1, nil)
			t.ApplySnapshot(at(1000), 2, entries("c"))
			t.ApplySnapshot(at(1100), 2, nil)
			t.ApplySnapshot(at(1200), 2, entries("c"))
		}, true, nil, nil},
		{"lost in two restores", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, entries("c"))
			t.ApplySnapshot(at(1000), 2, nil)
			t.TakeCorrection(at(1100))
			t.ApplySnapshot(at(2000), 3, nil)
		}, true, []api.ContentHash{"c"}, nil},
		{"expired when it was lost", func(t *quarantine.Table) {
			t.ApplySnapshot(at(0), 1, []quarantine.Entry{{Content: "c", Until: at(900)}})
			t.ApplySnapshot(at(1000), 2, nil)
		}, false, nil, nil},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			q := quarantine.New()
			c.do(q)
			if _, got := q.Quarantined(at(5000), "c"); got != c.quarantined {
				t.Errorf("quarantined: got %v, want %v", got, c.quarantined)
			}
			x := q.TakeCorrection(at(5000))
			var written []api.ContentHash
			for _, e := range x.Write {
				written = append(written, e.Content)
			}
			if !slices.Equal(written, c.written) || !slices.Equal(x.Release, c.removed) {
				t.Errorf("corrections: got %v written and %v removed, want %v and %v", written, x.Release, c.written, c.removed)
			}
			if x := q.TakeCorrection(at(5100)); len(x.Write)+len(x.Release) > 0 {
				t.Errorf("second correction: got %+v, want nothing", x)
			}
			if _, got := q.Quarantined(at(5200), "c"); got != c.quarantined {
				t.Errorf("quarantined after the correction: got %v, want %v", got, c.quarantined)
			}
		})
	}
}
