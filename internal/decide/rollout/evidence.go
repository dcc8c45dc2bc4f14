package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Sample is the outcome of one request at a server.
type Sample struct {
	Service api.ServiceName
	Route   string
	Version api.SoftwareVersion
	Failed  bool
	// Took is the time to the answer or, for a stream, to its first event. Zero leaves the time
	// out, as for a server that is cold.
	Took time.Duration
	// Pace is the mean time between the events of a stream, for ObservePace.
	Pace time.Duration
}

// Times sums up the logarithms of times, whose mean shows how many times slower one version is
// than another.
type Times struct {
	Count   int
	Sum     float64
	Squares float64
}

func (t *Times) add(d time.Duration) {
	if d <= 0 {
		return
	}
	x := math.Log(d.Seconds())
	t.Count++
	t.Sum += x
	t.Squares += x * x
}

func (t *Times) merge(x Times) {
	t.Count += x.Count
	t.Sum += x.Sum
	t.Squares += x.Squares
}

func (t Times) mean() float64 {
	return t.Sum / float64(t.Count)
}

// variance returns the variance of the mean. Few times that happen to be alike prove little, so
// that the deviation of one time counts as minDeviation at least.
func (t Times) variance() float64 {
	m := t.mean()
	v := max(t.Squares/float64(t.Count)-m*m, minDeviation*minDeviation)
	return v / float64(t.Count)
}

// minDeviation is the least deviation of the logarithm of a time.
const minDeviation = 0.25

// Stats counts the outcomes of the requests that one version got on one route.
type Stats struct {
	Served, Failed int
	Took, Pace     Times
}

func (s *Stats) add(x Sample) {
	if x.Failed {
		s.Failed++
		return
	}
	s.Served++
	s.Took.add(x.Took)
}

func (s *Stats) merge(x Stats) {
	s.Served += x.Served
	s.Failed += x.Failed
	s.Took.merge(x.Took)
	s.Pace.merge(x.Pace)
}

// valid reports whether statistics of a peer can be those of requests.
func (s Stats) valid() bool {
	return s.Served >= 0 && s.Failed >= 0 && s.Took.Count >= 0 && s.Took.Count <= s.Served && s.Pace.Count >= 0 && s.Pace.Count <= s.Served
}

// cohort is the requests of one route at the target version, or at all others.
type cohort struct {
	route  string
	target bool
}

// Evidence is the statistics of one cohort of a rollout, as entry VMs report them to each other.
type Evidence struct {
	Rollout api.RolloutID
	Route   string
	Target  bool
	Stats   Stats
}

// evidence holds the statistics of the cohorts of one rollout.
type evidence map[cohort]Stats

func (e evidence) add(c cohort, x Sample) {
	s := e[c]
	s.add(x)
	e[c] = s
}

func (e evidence) addPace(c cohort, d time.Duration) {
	s := e[c]
	s.Pace.add(d)
	e[c] = s
}

func (e evidence) merge(x evidence) {
	for c, s := range x {
		t := e[c]
		t.merge(s)
		e[c] = t
	}
}

// maxReportedRoutes bounds the routes in one report. Those with the most requests at the target
// version come first.
const maxReportedRoutes = 32

// report lists the evidence in order of route, for the routes with the most requests at the
// target version.
func (e evidence) report(id api.RolloutID) []Evidence {
	var routes []string
	for c := range e {
		if !slices.Contains(routes, c.route) {
			routes = append(routes, c.route)
		}
	}
	tried := func(r string) int { s := e[cohort{r, true}]; return s.Served + s.Failed }
	slices.SortFunc(routes, func(a, b string) int { return cmp.Or(cmp.Compare(tried(b), tried(a)), cmp.Compare(a, b)) })
	var l []Evidence
	for _, r := range routes[:min(len(routes), maxReportedRoutes)] {
		for _, target := range []bool{false, true} {
			if s, ok := e[cohort{r, target}]; ok {
				l = append(l, Evidence{Rollout: id, Route: r, Target: target, Stats: s})
			}
		}
	}
	return l
}
