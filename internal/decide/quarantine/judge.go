package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// confirmed gives the breaks whose servers ended, the first one first.
func (x *content) confirmed() []time.Time {
	var l []time.Time
	for _, r := range x.crashes {
		if r.confirmed {
			l = append(l, r.at)
		}
	}
	slices.SortFunc(l, time.Time.Compare)
	return l
}

// due reports whether breaks make a content one that is refused.
func due(now time.Time, l []time.Time) bool {
	switch {
	case len(l) < crashesMost:
		return false
	case len(l) >= crashesClear:
		return true
	default:
		return now.Sub(l[crashesMost-1]) >= confirmTime
	}
}

// Verdict is a content that has come to be refused.
type Verdict struct {
	Entry
	// Servers ended under it.
	Servers []api.ServerName
	// Own is set where this entry VM saw one of the crashes.
	Own bool
}

// Step judges contents, and forgets what is over.
func (t *Table) Step(now time.Time) []Verdict {
	var l []Verdict
	for c, x := range t.contents {
		if v, ok := t.judge(now, c, x); ok {
			l = append(l, v)
		}
		if t.over(now, x) {
			delete(t.contents, c)
		}
	}
	for s, at := range t.ended {
		if now.Sub(at) > rememberTime {
			delete(t.ended, s)
		}
	}
	maps.DeleteFunc(t.platform.released, func(_ api.ContentHash, at time.Time) bool { return now.Sub(at) > keepTime })
	slices.SortFunc(l, func(a, b Verdict) int { return cmp.Compare(a.Content, b.Content) })
	return l
}

// Unconfirmed lists the servers that are to be probed for whether they still listen: those of
// contents that broke off at as many as they may end, of which this entry VM saw one. Most
// servers that end are found out by other requests; where these are rare, the lapse of an
// entry takes four seconds, in which a content that comes again ends further ones.
func (t *Table) Unconfirmed(now time.Time) []api.ServerName {
	var l []api.ServerName
	for _, x := range t.contents {
		if x.own && x.until.IsZero() && x.reported() >= crashesMost {
			l = append(l, x.unconfirmed(now)...)
		}
	}
	slices.Sort(l)
	l = slices.Compact(l)
	return l[:min(len(l), probeServers)]
}

// reported counts the breaks that are reported to peers.
func (x *content) reported() int {
	n := 0
	for _, r := range x.crashes {
		if r.reported() {
			n++
		}
	}
	return n
}

// unconfirmed lists the servers of a content that are to be probed, and counts that.
func (x *content) unconfirmed(now time.Time) []api.ServerName {
	var l []api.ServerName
	for s, r := range x.crashes {
		if r.confirmed || r.silent || r.probes == probesMost || now.Sub(r.probed) < probePause {
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
	l := x.confirmed()
	if !x.until.IsZero() || !due(now, l) {
		return Verdict{}, false
	}
	x.until = l[len(l)-1].Add(keepTime)
	v := Verdict{Entry: Entry{Content: c, Until: x.until}, Own: x.own}
	for s, r := range x.crashes {
		if r.confirmed {
			v.Servers = append(v.Servers, s)
		}
	}
	slices.Sort(v.Servers)
	return v, true
}

// over reports whether a content is forgotten.
func (t *Table) over(now time.Time, x *content) bool {
	if !x.until.IsZero() {
		return now.After(x.until)
	}
	for s, r := range x.crashes {
		if now.Sub(r.at) > rememberTime {
			delete(x.crashes, s)
		}
	}
	return len(x.crashes) == 0 && now.Sub(x.learned) > answeredTime
}
