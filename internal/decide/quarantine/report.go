package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// reportWindow is how long what is new is reported to peers: several exchanges with
	// each, of which some may fail.
	reportWindow = 5 * time.Second
	// answerRetention is how long a whole answer is remembered, so that a late report of an
	// earlier break counts for nothing; none is passed on for longer over three hops.
	answerRetention = 3 * reportWindow
	// maxReports bounds the reports of one message, at some 100 bytes each. An engine
	// that ends has some eight runs; in a wave of crashes several messages take turns.
	maxReports = 24
	// maxMergedReports bounds the reports that are taken of one message.
	maxMergedReports = 4 * maxReports
)

// RecentReports gives the reports that peers may not know yet.
func (t *Table) RecentReports(now time.Time) []api.ContentReport {
	if now.Sub(t.updated) > reportWindow {
		// A hub reports some hundred times a second, and may know a thousand contents.
		return nil
	}
	return t.selectReports(now, func(x *content) bool { return now.Sub(x.updated) <= reportWindow })
}

// AllReports gives the reports that peers may not know yet, and those of refused contents.
func (t *Table) AllReports(now time.Time) []api.ContentReport {
	return t.selectReports(now, func(x *content) bool { return now.Sub(x.updated) <= reportWindow || x.until.After(now) })
}

// selectReports gives the reports of some contents, in turns where they are too many.
func (t *Table) selectReports(now time.Time, is func(x *content) bool) []api.ContentReport {
	var l []api.ContentReport
	for c, x := range t.contents {
		if is(x) {
			l = append(l, x.reports(now, c)...)
		}
	}
	slices.SortFunc(l, func(a, b api.ContentReport) int {
		return cmp.Or(cmp.Compare(a.Content, b.Content), cmp.Compare(a.Server, b.Server))
	})
	if len(l) <= maxReports {
		return l
	}
	t.reportOffset = (t.reportOffset + maxReports) % len(l)
	return slices.Concat(l[t.reportOffset:], l[:t.reportOffset])[:maxReports]
}

// reports are what there is to report of a content.
func (x *content) reports(now time.Time, c api.ContentHash) []api.ContentReport {
	var l []api.ContentReport
	if !x.lastAnswer.IsZero() {
		l = append(l, api.ContentReport{Content: c, AgeMS: api.ToMilliseconds(now.Sub(x.lastAnswer))})
	}
	for s, r := range x.failures {
		if !r.reportable() {
			continue
		}
		l = append(l, api.ContentReport{Content: c, Server: s, Ended: r.confirmed, AgeMS: api.ToMilliseconds(now.Sub(r.at))})
	}
	return l
}

// Merge takes the reports of a peer.
func (t *Table) Merge(now time.Time, l []api.ContentReport) {
	for _, w := range l[:min(len(l), maxMergedReports)] {
		if w.Content == "" || w.AgeMS < 0 || w.AgeMS > api.ToMilliseconds(quarantineTime) {
			continue
		}
		at := now.Add(-w.AgeMS.Duration())
		if w.Server == "" {
			t.recordAnswer(now, at, t.contentFor(w.Content))
			continue
		}
		t.recordFailure(now, at, w.Content, w.Server, ConnectionLost)
		if r, ok := t.contentFor(w.Content).failures[w.Server]; ok && w.Ended {
			t.confirm(now, t.contentFor(w.Content), r)
		}
	}
}
