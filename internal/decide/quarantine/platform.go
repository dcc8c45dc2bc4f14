package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// platformState tracks how the quarantined contents stored on the platform differ from what
// this entry VM knows.
type platformState struct {
	// loaded is set once a snapshot has been applied.
	loaded bool
	era    api.Era
	// released holds when each content was released. It is kept for as long as an older copy
	// of the platform's store may still contain the content.
	released map[api.ContentHash]time.Time
	// missing are contents that were quarantined here but absent after the platform was
	// restored from an older copy of its store. revived are contents that the copy still had
	// although they had been released. Both are kept until a snapshot shows the difference
	// corrected; the value is true until TakeCorrection has returned the content.
	missing map[api.ContentHash]bool
	revived map[api.ContentHash]bool
}

func newPlatformState() platformState {
	return platformState{
		released: map[api.ContentHash]time.Time{}, missing: map[api.ContentHash]bool{}, revived: map[api.ContentHash]bool{},
	}
}

// advance records the era of a snapshot and reports whether the platform was restored from an
// older copy since the last snapshot.
func (p *platformState) advance(e api.Era) bool {
	restored := p.loaded && e > p.era
	p.loaded, p.era = true, max(e, p.era)
	return restored
}

// ApplySnapshot applies the quarantined contents stored on the platform in an era. Within an
// era, a content that disappears was released by operators, and everything recorded against it
// is dropped. In a later era the store was restored from a backup: contents may have been lost
// and released ones may be present again, so the local state takes precedence.
func (t *Table) ApplySnapshot(now time.Time, e api.Era, l []Entry) {
	restored := t.platform.advance(e)
	s := make(map[api.ContentHash]time.Time, len(l))
	for _, x := range l {
		s[x.Content] = x.Until
	}
	if restored {
		t.applyRestored(now, s)
	} else {
		t.applyCurrent(now, s)
	}
	t.stored = s
}

// applyCurrent applies a snapshot of the same era: contents that are missing were released,
// except those that a restore lost.
func (t *Table) applyCurrent(now time.Time, s map[api.ContentHash]time.Time) {
	p := &t.platform
	p.dropCorrected(s)
	for c, u := range t.stored {
		if _, ok := s[c]; ok {
			continue
		}
		if _, ok := p.missing[c]; ok {
			s[c] = u
			continue
		}
		delete(t.contents, c)
		p.released[c] = now
	}
	for c := range s {
		delete(p.released, c)
	}
}

// dropCorrected stops tracking differences that the snapshot shows corrected, and removes
// revived contents from the snapshot.
func (p *platformState) dropCorrected(s map[api.ContentHash]time.Time) {
	for c := range p.missing {
		if _, ok := s[c]; ok {
			delete(p.missing, c)
		}
	}
	for c := range p.revived {
		if _, ok := s[c]; !ok {
			delete(p.revived, c)
		}
		delete(s, c)
	}
}

// applyRestored applies the first snapshot of a later era. It lacks what was written after the
// copy of the store was made, and still has what was removed after it.
func (t *Table) applyRestored(now time.Time, s map[api.ContentHash]time.Time) {
	p := &t.platform
	clear(p.missing)
	clear(p.revived)
	for c := range p.released {
		if _, ok := s[c]; ok {
			p.revived[c] = true
			delete(s, c)
		}
	}
	for c, u := range t.allQuarantined(now) {
		if _, ok := s[c]; !ok {
			p.missing[c] = true
			s[c] = u
		}
	}
}

// allQuarantined returns all contents that are quarantined at a time, with the end of each
// quarantine.
func (t *Table) allQuarantined(now time.Time) map[api.ContentHash]time.Time {
	l := map[api.ContentHash]time.Time{}
	for c := range t.stored {
		if u, ok := t.Quarantined(now, c); ok {
			l[c] = u
		}
	}
	for c := range t.contents {
		if u, ok := t.Quarantined(now, c); ok {
			l[c] = u
		}
	}
	return l
}

// Correction holds the changes that bring the platform's objects in line with what is known
// here: contents to write because they are missing, and contents to remove because they were
// released.
type Correction struct {
	Write   []Entry
	Release []api.ContentHash
}

// TakeCorrection returns the corrections that the entry VM which follows the platform has to
// make there. Each is returned once. The other entry VMs track the same differences, so that
// one of them can make the corrections if it takes over.
func (t *Table) TakeCorrection(now time.Time) Correction {
	var x Correction
	for c, due := range t.platform.missing {
		if u, ok := t.Quarantined(now, c); ok && due {
			x.Write = append(x.Write, Entry{Content: c, Until: u})
		}
		t.platform.missing[c] = false
	}
	for c, due := range t.platform.revived {
		if due {
			x.Release = append(x.Release, c)
		}
		t.platform.revived[c] = false
	}
	slices.SortFunc(x.Write, func(a, b Entry) int { return cmp.Compare(a.Content, b.Content) })
	slices.Sort(x.Release)
	return x
}
