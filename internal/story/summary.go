package story

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/quantile"
)

// Count is how often something was logged.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Summary is what logs of several entry VMs show together. Of requests that
// went well some lines are left out, which LeftOut counts.
type Summary struct {
	// Ends are how requests ended, by event and type of failure.
	Ends []Count `json:"ends"`
	// Causes are why requests were not answered in time, by route.
	Causes []Count `json:"causes"`
	// First and Pause are the time to the first event and the longest pause of
	// streams that were answered whole.
	First quantile.Summary `json:"first_event"`
	Pause quantile.Summary `json:"longest_pause"`
	// Moves are the moves of runs by the last step that was logged.
	Moves []Count `json:"moves"`
	// Resumes are runs that went on elsewhere, by what from, and the time that
	// took.
	Resumes []Resumed `json:"resumes"`
	// Lost are generations that could not go on, by what was known of the server.
	Lost []Count `json:"lost"`
	// Silent are verdicts on silent streams.
	Silent  []Count `json:"silent"`
	LeftOut int     `json:"left_out"`
}

// Resumed are the runs that went on from one kind of copy.
type Resumed struct {
	From string           `json:"from"`
	Took quantile.Summary `json:"took"`
}

// ends are the events with which a request ends.
var ends = map[event.ID]bool{
	event.RequestDone: true, event.RequestLate: true, event.RequestRefused: true, event.RequestFailed: true,
	event.GenerationLost: true, event.CallerLeft: true,
}

// counts counts by name.
type counts map[string]int

func (c counts) list() []Count {
	l := make([]Count, 0, len(c))
	for _, n := range slices.Sorted(maps.Keys(c)) {
		l = append(l, Count{n, c[n]})
	}
	slices.SortStableFunc(l, func(a, b Count) int { return cmp.Compare(b.Count, a.Count) })
	return l
}

// place is a server as one entry VM saw it.
type place struct{ source, server string }

// sums gathers a summary.
type sums struct {
	ends, silent counts
	first, pause *quantile.Histogram
	resumes      map[string]*quantile.Histogram
	// moves are the last steps by request and source, leaving the servers that an
	// entry VM knew to leave.
	moves   map[place]string
	leaving map[place]bool
	// lost are the lines of lost generations: the step of a move that was under
	// way is logged after them.
	lost []Line
	// missed are the lines of requests that were not answered in time.
	missed  []Line
	leftOut int
}

// Sum gives the summary of all lines.
func Sum(all []Line) Summary {
	s := &sums{
		ends: counts{}, silent: counts{}, first: quantile.New(), pause: quantile.New(),
		resumes: map[string]*quantile.Histogram{}, moves: map[place]string{}, leaving: map[place]bool{},
	}
	l := slices.Clone(all)
	sortLines(l)
	for _, x := range l {
		s.add(x)
	}
	return s.summary()
}

func (s *sums) add(l Line) {
	if ends[l.Event] {
		s.ends[strings.TrimSpace(l.Name+" "+l.text("type"))]++
	}
	if l.Event != event.RequestDone && ends[l.Event] {
		s.missed = append(s.missed, l)
	}
	switch l.Event {
	case event.RequestDone, event.RequestLate:
		if l.Fields["events"] != nil {
			s.first.Record(l.duration("first"))
			s.pause.Record(l.duration("pause"))
		}
	case event.ServerState:
		s.leaving[place{l.Source, l.text("server")}] = l.text("state") == leavingState
	case event.MoveStep:
		s.moves[place{l.text("request"), l.text("from")}] = l.text("next") + " after " + l.text("outcome")
	case event.GenerationResumed:
		s.resumed(l)
	case event.GenerationLost:
		s.lost = append(s.lost, l)
	case event.StreamSilent:
		s.silent[l.text("verdict")]++
	case event.LinesLeftOut:
		s.leftOut += int(l.number("beyond_bound") + l.number("output"))
	}
}

// leavingState is the state of a server that is about to end.
const leavingState = "leaving"

// fate says what an entry VM knew of the server of a lost generation.
func (s *sums) fate(l Line) string {
	p := place{l.text("request"), l.text("server")}
	switch m, moved := s.moves[p]; {
	case moved:
		return "at a notice: " + m
	case s.leaving[place{l.Source, l.text("server")}]:
		return "at a notice: no step of a move"
	default:
		return "without a notice"
	}
}

func (s *sums) resumed(l Line) {
	n := "a copy in hand"
	switch {
	case l.Fields["stopped"] == true:
		n = "a stop"
	case l.Fields["kept"] == true:
		n = "a copy that grew with it"
	}
	if s.resumes[n] == nil {
		s.resumes[n] = quantile.New()
	}
	s.resumes[n].Record(l.duration("took"))
}

func (s *sums) summary() Summary {
	moves := counts{}
	for _, m := range s.moves {
		moves[m]++
	}
	lost := counts{}
	for _, l := range s.lost {
		lost[s.fate(l)]++
	}
	causes := counts{}
	for _, l := range s.missed {
		causes[s.cause(l)]++
	}
	x := Summary{
		Ends: s.ends.list(), Causes: causes.list(), First: s.first.Summary(), Pause: s.pause.Summary(), Moves: moves.list(), Lost: lost.list(),
		Silent: s.silent.list(), LeftOut: s.leftOut, Resumes: []Resumed{},
	}
	for _, n := range slices.Sorted(maps.Keys(s.resumes)) {
		x.Resumes = append(x.Resumes, Resumed{n, s.resumes[n].Summary()})
	}
	return x
}

func (l Line) text(key string) string {
	t, _ := l.Fields[key].(string)
	return t
}

func (l Line) number(key string) float64 {
	n, _ := l.Fields[key].(float64)
	return n
}

// duration reads a time, which logs hold in seconds.
func (l Line) duration(key string) time.Duration {
	return time.Duration(l.number(key) * float64(time.Second))
}

// Text writes the summary for people.
func (s Summary) Text() string {
	var b strings.Builder
	list := func(title string, l []Count) {
		for _, c := range l {
			fmt.Fprintf(&b, "%-8s %6d  %s\n", title, c.Count, c.Name)
		}
	}
	times := func(title string, q quantile.Summary) {
		if q.Count > 0 {
			fmt.Fprintf(&b, "%-8s %6d  p50 %.0f, p95 %.0f, p99 %.0f, most %.0f ms\n", title, q.Count, q.P50, q.P95, q.P99, q.Max)
		}
	}
	list("ended", s.Ends)
	list("missed", s.Causes)
	times("first", s.First)
	times("pause", s.Pause)
	list("moved", s.Moves)
	for _, r := range s.Resumes {
		times("resumed", r.Took)
		fmt.Fprintf(&b, "%-16s  from %s\n", "", r.From)
	}
	list("lost", s.Lost)
	list("silent", s.Silent)
	fmt.Fprintf(&b, "%-8s %6d  lines\n", "left out", s.LeftOut)
	return b.String()
}
