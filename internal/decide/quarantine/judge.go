package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// confirmedCrashes returns the times of the failures whose servers are known to have crashed,
// earliest first.
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

// enoughCrashes reports whether confirmed crashes, earliest first, suffice to quarantine a
// content.
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

// Verdict is a content that has newly been quarantined.
type Verdict struct {
	Entry
	// Servers are those that crashed while they ran the content.
	Servers []api.ServerName
	// Local is set if this entry VM observed at least one of the failures itself.
	Local bool
}

// Step quarantines contents with enough confirmed crashes, returns them, and drops expired
// records.
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
	for s, at := range t.crashed {
		if now.Sub(at) > failureRetention {
			delete(t.crashed, s)
		}
	}
	maps.DeleteFunc(t.platform.released, func(_ api.ContentHash, at time.Time) bool { return now.Sub(at) > quarantineTime })
	slices.SortFunc(l, func(a, b Verdict) int { return cmp.Compare(a.Content, b.Content) })
	return l
}

// NextProbes returns the servers to probe now for whether they still accept connections, and
// counts the probes. These are the unconfirmed servers of contents that this entry VM saw fail
// and that have maxCrashes reportable failures. Most crashed servers are found by other
// requests. Where requests are rare, it takes four seconds until the server's entry lapses,
// and a content that is retried in that time crashes further servers.
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

// reportableFailures counts the failures that are reported to peers.
func (x *content) reportableFailures() int {
	n := 0
	for _, r := range x.failures {
		if r.reportable() {
			n++
		}
	}
	return n
}

// nextProbes returns the servers of a content that are due for a probe, and counts the probes.
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

// judge quarantines a content that has enough confirmed crashes, and reports whether it did so
// now.
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

// prune drops expired failures of a content and reports whether the content can be dropped
// altogether.
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
