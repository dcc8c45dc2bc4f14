package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// confirmedCrashes gives the breaks whose servers ended, the first one first.
func (x *content) confirmedCrashes() []time.Time {
	var l []time.Time
	for _, r := range x.failures {
		if r.confirmed {
			l = append(l, r.at)
		}
	}
	slices.SortFunc(l, time.Time.Compare)
	return l
}

// enoughCrashes reports whether breaks make a content one that is refused.
func enoughCrashes(now time.Time, l []time.Time) bool {
	switch {
	case len(l) < maxCrashes:
		return false
	case len(l) >= immediateCrashes:
		return true
	default:
		return now.Sub(l[maxCrashes-1]) >= verdictDelay
	}
}

// Verdict is a content that has come to be refused.
type Verdict struct {
	Entry
	// Servers ended under it.
	Servers []api.ServerName
	// Local is set where this entry VM saw one of the crashes.
	Local bool
}

// Step judges contents, and forgets what is over.
func (t *Table) Step(now time.Time) []Verdict {
	var l []Verdict
	for c, x := range t.contents {
		if v, ok := t.judge(now, c, x); ok {
			l = append(l, v)
		}
		if t.prune(now, x) {
			delete(t.contents, c)
		}
	}
	for s, at := range t.ended {
		if now.Sub(at) > failureRetention {
			delete(t.ended, s)
		}
	}
	maps.DeleteFunc(t.platform.released, func(_ api.ContentHash, at time.Time) bool { return now.Sub(at) > quarantineTime })
	slices.SortFunc(l, func(a, b Verdict) int { return cmp.Compare(a.Content, b.Content) })
	return l
}

// NextProbes lists the servers that are to be probed for whether they still listen: those of
// contents that broke off at as many as they may end, of which this entry VM saw one. Most
// servers that end are found out by other requests; where these are rare, the lapse of an
// entry takes four seconds, in which a content that comes again ends further ones.
func (t *Table) NextProbes(now time.Time) []api.ServerName {
	var l []api.ServerName
	for _, x := range t.contents {
		if x.local && x.until.IsZero() && x.reportableFailures() >= maxCrashes {
			l = append(l, x.nextProbes(now)...)
		}
	}
	slices.Sort(l)
	l = slices.Compact(l)
	return l[:min(len(l), maxProbedServers)]
}

// reportableFailures counts the breaks that are reportableFailures to peers.
func (x *content) reportableFailures() int {
	n := 0
	for _, r := range x.failures {
		if r.reportable() {
			n++
		}
	}
	return n
}

// nextProbes lists the servers of a content that are to be probed, and counts that.
func (x *content) nextProbes(now time.Time) []api.ServerName {
	var l []api.ServerName
	for s, r := range x.failures {
		if r.confirmed || r.noAnswer || r.probes == maxProbes || now.Sub(r.probed) < probeInterval {
			continue
		}
		r.probed = now
		r.probes++
		l = append(l, s)
	}
	return l
}

// judge reports whether a content is refused from now on.
func (t *Table) judge(now time.Time, c api.ContentHash, x *content) (Verdict, bool) {
	l := x.confirmedCrashes()
	if !x.until.IsZero() || !enoughCrashes(now, l) {
		return Verdict{}, false
	}
	x.until = l[len(l)-1].Add(quarantineTime)
	v := Verdict{Entry: Entry{Content: c, Until: x.until}, Local: x.local}
	for s, r := range x.failures {
		if r.confirmed {
			v.Servers = append(v.Servers, s)
		}
	}
	slices.Sort(v.Servers)
	return v, true
}

// prune reports whether a content is forgotten.
func (t *Table) prune(now time.Time, x *content) bool {
	if !x.until.IsZero() {
		return now.After(x.until)
	}
	for s, r := range x.failures {
		if now.Sub(r.at) > failureRetention {
			delete(x.failures, s)
		}
	}
	return len(x.failures) == 0 && now.Sub(x.updated) > answerRetention
}
