package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// reportWindow is how long an update is reported to peers. It covers several exchanges
	// with each peer, since some may fail.
	reportWindow = 5 * time.Second
	// answerRetention is how long a complete answer is remembered, so that a late report of an
	// earlier failure has no effect. Over three hops no report is passed on for longer.
	answerRetention = 3 * reportWindow
	// maxReports bounds the reports in one message, at some 100 bytes each. An engine that
	// crashes has some eight runs; in a wave of crashes the reports are spread over several
	// messages.
	maxReports = 24
	// urgentReports bounds the reports of the contents with the most failures that go into each
	// message. The others are spread over several messages.
	urgentReports = maxReports / 2
	// maxMergedReports bounds the reports that are accepted from one message.
	maxMergedReports = 4 * maxReports
	// maxPosition bounds the position of a part in a report.
	maxPosition = 1024
)

// RecentReports returns the reports that peers may not have received yet.
func (t *Table) RecentReports(now time.Time) []api.ContentReport {
	if now.Sub(t.updated) > reportWindow {
		// Fast path: a hub builds some hundred reports a second and may hold a thousand
		// contents.
		return nil
	}
	return t.selectReports(now, func(x *content) bool { return now.Sub(x.updated) <= reportWindow })
}

// AllReports returns the reports that peers may not have received yet and those of quarantined
// contents.
func (t *Table) AllReports(now time.Time) []api.ContentReport {
	return t.selectReports(now, func(x *content) bool { return now.Sub(x.updated) <= reportWindow || x.until.After(now) })
}

// selectReports returns the reports of the contents that match. If there are more than
// maxReports, successive calls return successive parts of them.
func (t *Table) selectReports(now time.Time, match func(x *content) bool) []api.ContentReport {
	var l []api.ContentReport
	for c, x := range t.contents {
		if match(x) {
			l = append(l, x.reports(now, c)...)
		}
	}
	slices.SortFunc(l, func(a, b api.ContentReport) int {
		return cmp.Or(cmp.Compare(t.failureCount(b.Content), t.failureCount(a.Content)), cmp.Compare(a.Content, b.Content), cmp.Compare(a.Server, b.Server), cmp.Compare(b.AgeMS, a.AgeMS))
	})
	if len(l) <= maxReports {
		return l
	}
	n := t.urgent(l)
	first, rest := l[:n], l[n:]
	t.reportOffset = (t.reportOffset + maxReports - n) % len(rest)
	return slices.Concat(first, rest[t.reportOffset:], rest[:t.reportOffset])[:maxReports]
}

// urgent returns how many of the reports, those with the most failures first, go into each message.
func (t *Table) urgent(l []api.ContentReport) int {
	n := 0
	for n < urgentReports && t.failureCount(l[n].Content) >= maxCrashes {
		n++
	}
	return n
}

// failureCount returns the number of servers at which runs of a content are known to have failed.
func (t *Table) failureCount(c api.ContentHash) int { return len(t.contents[c].failures) }

// reports returns the reports about one content.
func (x *content) reports(now time.Time, c api.ContentHash) []api.ContentReport {
	var l []api.ContentReport
	if !x.lastAnswer.IsZero() {
		l = append(l, api.ContentReport{Content: c, AgeMS: api.ToMilliseconds(now.Sub(x.lastAnswer))})
	}
	for k, r := range x.failures {
		if !r.reportable() {
			continue
		}
		l = append(l, api.ContentReport{Content: c, Server: k.server, Ended: r.confirmed, Position: x.position, AgeMS: api.ToMilliseconds(now.Sub(r.at))})
	}
	return l
}

// failureAt returns the failure at a server to which a report of a time belongs, nil if there is none.
func (x *content) failureAt(s api.ServerName, at time.Time) *failure {
	var last *failure
	for k := (crashSite{server: s}); ; k.n++ {
		r, ok := x.failures[k]
		if !ok || last != nil && at.Before(r.at.Add(-minRestartTime)) {
			return last
		}
		last = r
	}
}

// Merge applies the reports of a peer. Reports without a content or with an age out of range
// are ignored.
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
		x := t.contentFor(w.Content)
		x.setPosition(min(w.Position, maxPosition))
		if r := x.failureAt(w.Server, at); r != nil && w.Ended {
			t.confirm(now, x, r)
		}
	}
}
