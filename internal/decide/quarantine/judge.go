package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// confirmedCrashes returns the times of the failures whose servers are known to have crashed and
// whose crash has no other cause, earliest first.
func (x *content) confirmedCrashes(explained map[api.ServerName]bool) []time.Time {
	var l []time.Time
	for k, r := range x.failures {
		if r.confirmed && !explained[k.server] {
			l = append(l, r.at)
		}
	}
	slices.SortFunc(l, time.Time.Compare)
	return l
}

// crashLimits are the numbers of confirmed crashes from which a content or a part is quarantined:
// delayed after verdictDelay, and immediate at once.
type crashLimits struct {
	delayed, immediate int
}

func limitsFor(c api.ContentHash) crashLimits {
	if isPart(c) {
		return crashLimits{maxPartCrashes, immediatePartCrashes}
	}
	return crashLimits{maxCrashes, immediateCrashes}
}

// reached reports whether confirmed crashes, earliest first, suffice for a quarantine.
func (m crashLimits) reached(now time.Time, l []time.Time) bool {
	switch {
	case len(l) < m.delayed:
		return false
	case len(l) >= m.immediate:
		return true
	default:
		return now.Sub(l[m.delayed-1]) >= verdictDelay
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
	explained := t.explainedCrashes(now)
	for {
		c, ok := t.mostSuspect(now, explained)
		if !ok {
			break
		}
		l = append(l, t.quarantine(c, explained))
	}
	maps.DeleteFunc(t.contents, func(_ api.ContentHash, x *content) bool { return t.prune(now, x) })
	for s, at := range t.crashed {
		if now.Sub(at) > failureRetention {
			delete(t.crashed, s)
		}
	}
	maps.DeleteFunc(t.losses, func(_ api.ServerName, at time.Time) bool { return now.Sub(at) > lossWindow })
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
	for k, r := range x.failures {
		if r.confirmed || r.noAnswer || r.probes == maxProbes || now.Sub(r.probed) < probeInterval {
			continue
		}
		r.probed = now
		r.probes++
		l = append(l, k.server)
	}
	return l
}

// explainedCrashes returns the servers that quarantined parts have crashed. Whatever else ran
// there is not the cause.
func (t *Table) explainedCrashes(now time.Time) map[api.ServerName]bool {
	m := map[api.ServerName]bool{}
	for c, x := range t.contents {
		if _, ok := t.Quarantined(now, c); ok {
			x.explain(c, m)
		}
	}
	return m
}

// explain adds the servers that a quarantined part has crashed. A content has too few crashes to
// rule out that a part of its prompt causes them.
func (x *content) explain(c api.ContentHash, m map[api.ServerName]bool) {
	if !isPart(c) {
		return
	}
	for k, r := range x.failures {
		if r.confirmed {
			m[k.server] = true
		}
	}
}

// suspect is a part or content with enough crashes for a quarantine.
type suspect struct {
	content  api.ContentHash
	crashes  int
	position int
}

// compare orders suspects by how few requests they are in, which a verdict refuses. Parts come
// before contents, since a part explains the crashes of several contents. The later a part stands
// in the prompts, the fewer requests share it; an earlier one needs crashes that later parts don't
// explain.
func (x suspect) compare(y suspect) int {
	if a, b := isPart(x.content), isPart(y.content); a != b {
		if a {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(y.position, x.position), cmp.Compare(y.crashes, x.crashes), cmp.Compare(x.content, y.content))
}

// mostSuspect returns the content or part to quarantine next.
func (t *Table) mostSuspect(now time.Time, explained map[api.ServerName]bool) (api.ContentHash, bool) {
	var l []suspect
	for c, x := range t.contents {
		n := x.confirmedCrashes(explained)
		if !x.until.IsZero() || !limitsFor(c).reached(now, n) || isPart(c) && t.crashedUnderOneContent(x) {
			continue
		}
		l = append(l, suspect{c, len(n), x.position})
	}
	if len(l) == 0 {
		return "", false
	}
	return slices.MinFunc(l, suspect.compare).content, true
}

// crashedUnderOneContent reports whether a single content crashed all servers that a part did. Then the
// content is the cause, and other requests may have the part.
func (t *Table) crashedUnderOneContent(part *content) bool {
	for c, x := range t.contents {
		if !isPart(c) && x.crashedAll(part) {
			return true
		}
	}
	return false
}

// crashedAll reports whether a content crashed all servers that a part did.
func (x *content) crashedAll(part *content) bool {
	for k, r := range part.failures {
		if f, ok := x.failures[k]; r.confirmed && (!ok || !f.confirmed) {
			return false
		}
	}
	return true
}

// quarantine quarantines a content or part, and adds the crashes that this explains.
func (t *Table) quarantine(c api.ContentHash, explained map[api.ServerName]bool) Verdict {
	x := t.contents[c]
	l := x.confirmedCrashes(explained)
	x.until = l[len(l)-1].Add(quarantineTime)
	v := Verdict{Entry: Entry{Content: c, Until: x.until}, Local: x.local}
	for k, r := range x.failures {
		if r.confirmed {
			v.Servers = append(v.Servers, k.server)
		}
	}
	slices.Sort(v.Servers)
	v.Servers = slices.Compact(v.Servers)
	x.explain(c, explained)
	return v
}

// prune drops expired failures of a content and reports whether the content can be dropped
// altogether.
func (t *Table) prune(now time.Time, x *content) bool {
	if !x.until.IsZero() {
		return now.After(x.until)
	}
	maps.DeleteFunc(x.failures, func(_ crashSite, r *failure) bool { return now.Sub(r.at) > failureRetention })
	return len(x.failures) == 0 && now.Sub(x.updated) > answerRetention
}
