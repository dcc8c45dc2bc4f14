package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// platform is how the platform's objects compare with what is known here.
type platform struct {
	// known is set once the objects of an era were taken.
	known bool
	era   api.Era
	// released holds when contents were released, for as long as a copy may have them.
	released map[api.ContentHash]time.Time
	// lost are those that a copy lacked which the platform came back from, and revived those
	// that it had though they were released, until its objects say otherwise; each is set
	// while nothing was ordered here to put that right.
	lost    map[api.ContentHash]bool
	revived map[api.ContentHash]bool
}

func newPlatform() platform {
	return platform{
		released: map[api.ContentHash]time.Time{}, lost: map[api.ContentHash]bool{}, revived: map[api.ContentHash]bool{},
	}
}

// enter notes the era of the objects and reports whether the platform came back from a copy
// since the last ones.
func (p *platform) enter(e api.Era) bool {
	later := p.known && e > p.era
	p.known, p.era = true, max(e, p.era)
	return later
}

// Declare takes the contents that the platform keeps as refused, in an era. One that was
// there and is no more was released by operators: all that is held against it is forgotten.
// In a later era it may have been lost instead, and one that was released may be back: what
// is known here holds then.
func (t *Table) Declare(now time.Time, e api.Era, l []Entry) {
	later := t.platform.enter(e)
	is := make(map[api.ContentHash]time.Time, len(l))
	for _, x := range l {
		is[x.Content] = x.Until
	}
	if later {
		t.keep(now, is)
	} else {
		t.release(now, is)
	}
	t.declared = is
}

// release forgets what the platform no longer has.
func (t *Table) release(now time.Time, is map[api.ContentHash]time.Time) {
	p := &t.platform
	p.settle(is)
	for c, u := range t.declared {
		if _, ok := is[c]; ok {
			continue
		}
		if _, ok := p.lost[c]; ok {
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

// settle notes which contents are as they should be, and leaves out those that should not be
// there.
func (p *platform) settle(is map[api.ContentHash]time.Time) {
	for c := range p.lost {
		if _, ok := is[c]; ok {
			delete(p.lost, c)
		}
	}
	for c := range p.revived {
		if _, ok := is[c]; !ok {
			delete(p.revived, c)
		}
		delete(is, c)
	}
}

// keep takes the objects of a later era, which lack what was written since a copy was made,
// and have what was removed since.
func (t *Table) keep(now time.Time, is map[api.ContentHash]time.Time) {
	p := &t.platform
	clear(p.lost)
	clear(p.revived)
	for c := range p.released {
		if _, ok := is[c]; ok {
			p.revived[c] = true
			delete(is, c)
		}
	}
	for c, u := range t.known(now) {
		if _, ok := is[c]; !ok {
			p.lost[c] = true
			is[c] = u
		}
	}
}

// known gives the contents that are refused at a time, and until when.
func (t *Table) known(now time.Time) map[api.ContentHash]time.Time {
	l := map[api.ContentHash]time.Time{}
	for c := range t.declared {
		if u, ok := t.Refused(now, c); ok {
			l[c] = u
		}
	}
	for c := range t.contents {
		if u, ok := t.Refused(now, c); ok {
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

// Correct gives what the entry VM that follows the platform has to put right there, each
// once; the others know of it as well, and one that follows later does it.
func (t *Table) Correct(now time.Time) Correction {
	var x Correction
	for c, due := range t.platform.lost {
		if u, ok := t.Refused(now, c); ok && due {
			x.Write = append(x.Write, Entry{Content: c, Until: u})
		}
		t.platform.lost[c] = false
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
