package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// platformState is how the platformState's objects compare with what is known here.
type platformState struct {
	// loaded is set once the objects of an era were taken.
	loaded bool
	era    api.Era
	// released holds when contents were released, for as long as a copy may have them.
	released map[api.ContentHash]time.Time
	// missing are those that a copy lacked which the platform came back from, and revived those
	// that it had though they were released, until its objects say otherwise; each is set
	// while nothing was ordered here to put that right.
	missing map[api.ContentHash]bool
	revived map[api.ContentHash]bool
}

func newPlatformState() platformState {
	return platformState{
		released: map[api.ContentHash]time.Time{}, missing: map[api.ContentHash]bool{}, revived: map[api.ContentHash]bool{},
	}
}

// advance notes the era of the objects and reports whether the platform came back from a copy
// since the last ones.
func (p *platformState) advance(e api.Era) bool {
	later := p.loaded && e > p.era
	p.loaded, p.era = true, max(e, p.era)
	return later
}

// ApplySnapshot takes the contents that the platform keeps as refused, in an era. One that was
// there and is no more was released by operators: all that is held against it is forgotten.
// In a later era it may have been lost instead, and one that was released may be back: what
// is known here holds then.
func (t *Table) ApplySnapshot(now time.Time, e api.Era, l []Entry) {
	later := t.platform.advance(e)
	is := make(map[api.ContentHash]time.Time, len(l))
	for _, x := range l {
		is[x.Content] = x.Until
	}
	if later {
		t.applyRestored(now, is)
	} else {
		t.applyCurrent(now, is)
	}
	t.stored = is
}

// applyCurrent forgets what the platform no longer has.
func (t *Table) applyCurrent(now time.Time, is map[api.ContentHash]time.Time) {
	p := &t.platform
	p.dropCorrected(is)
	for c, u := range t.stored {
		if _, ok := is[c]; ok {
			continue
		}
		if _, ok := p.missing[c]; ok {
			is[c] = u
			continue
		}
		delete(t.contents, c)
		p.released[c] = now
	}
	for c := range is {
		delete(p.released, c)
	}
}

// dropCorrected notes which contents are as they should be, and leaves out those that should not be
// there.
func (p *platformState) dropCorrected(is map[api.ContentHash]time.Time) {
	for c := range p.missing {
		if _, ok := is[c]; ok {
			delete(p.missing, c)
		}
	}
	for c := range p.revived {
		if _, ok := is[c]; !ok {
			delete(p.revived, c)
		}
		delete(is, c)
	}
}

// applyRestored takes the objects of a later era, which lack what was written since a copy was made,
// and have what was removed since.
func (t *Table) applyRestored(now time.Time, is map[api.ContentHash]time.Time) {
	p := &t.platform
	clear(p.missing)
	clear(p.revived)
	for c := range p.released {
		if _, ok := is[c]; ok {
			p.revived[c] = true
			delete(is, c)
		}
	}
	for c, u := range t.allQuarantined(now) {
		if _, ok := is[c]; !ok {
			p.missing[c] = true
			is[c] = u
		}
	}
}

// allQuarantined gives the contents that are refused at a time, and until when.
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

// Correction is what the platform's objects lack, and have though it was released.
type Correction struct {
	Write   []Entry
	Release []api.ContentHash
}

// TakeCorrection gives what the entry VM that follows the platform has to put right there, each
// once; the others know of it as well, and one that follows later does it.
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
