package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// reportTime is how long what is new is reported to peers: several exchanges with
	// each, of which some may fail.
	reportTime = 5 * time.Second
	// answeredTime is how long a whole answer is remembered, so that a late report of an
	// earlier break counts for nothing; none is passed on for longer over three hops.
	answeredTime = 3 * reportTime
	// reportsMost bounds the reports of one message, at some 100 bytes each. An engine
	// that ends has some eight runs; in a wave of crashes several messages take turns.
	reportsMost = 24
	// mergeMost bounds the reports that are taken of one message.
	mergeMost = 4 * reportsMost
)

// Recent gives the reports that peers may not know yet.
func (t *Table) Recent(now time.Time) []api.ContentReport {
	if now.Sub(t.learned) > reportTime {
		// A hub reports some hundred times a second, and may know a thousand contents.
		return nil
	}
	return t.list(now, func(x *content) bool { return now.Sub(x.learned) <= reportTime })
}

// All gives the reports that peers may not know yet, and those of refused contents.
func (t *Table) All(now time.Time) []api.ContentReport {
	return t.list(now, func(x *content) bool { return now.Sub(x.learned) <= reportTime || x.until.After(now) })
}

// list gives the reports of some contents, in turns where they are too many.
func (t *Table) list(now time.Time, is func(x *content) bool) []api.ContentReport {
	var l []api.ContentReport
	for c, x := range t.contents {
		if is(x) {
			l = append(l, x.reports(now, c)...)
		}
	}
	slices.SortFunc(l, func(a, b api.ContentReport) int {
		return cmp.Or(cmp.Compare(a.Content, b.Content), cmp.Compare(a.Server, b.Server))
	})
	if len(l) <= reportsMost {
		return l
	}
	t.turn = (t.turn + reportsMost) % len(l)
	return slices.Concat(l[t.turn:], l[:t.turn])[:reportsMost]
}

// reports are what there is to report of a content.
func (x *content) reports(now time.Time, c api.ContentHash) []api.ContentReport {
	var l []api.ContentReport
	if !x.answered.IsZero() {
		l = append(l, api.ContentReport{Content: c, AgeMS: api.ToMilliseconds(now.Sub(x.answered))})
	}
	for s, r := range x.crashes {
		if !r.reported() {
			continue
		}
		l = append(l, api.ContentReport{Content: c, Server: s, Ended: r.confirmed, AgeMS: api.ToMilliseconds(now.Sub(r.at))})
	}
	return l
}

// Merge takes the reports of a peer.
func (t *Table) Merge(now time.Time, l []api.ContentReport) {
	for _, w := range l[:min(len(l), mergeMost)] {
		if w.Content == "" || w.AgeMS < 0 || w.AgeMS > api.ToMilliseconds(keepTime) {
			continue
		}
		at := now.Add(-w.AgeMS.Duration())
		if w.Server == "" {
			t.answered(now, at, t.of(w.Content))
			continue
		}
		t.broke(now, at, w.Content, w.Server, Closed)
		if r, ok := t.of(w.Content).crashes[w.Server]; ok && w.Ended {
			t.confirm(now, t.of(w.Content), r)
		}
	}
}
