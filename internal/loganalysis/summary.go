package loganalysis

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

// Count is the number of log lines with the same outcome, cause or verdict.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Summary summarizes the logs of several entry VMs. Logs don't hold every line of
// requests that succeed; DroppedLines counts those that are missing.
type Summary struct {
	// Outcomes counts how requests ended, by event and type of failure.
	Outcomes []Count `json:"ends"`
	// Causes counts why requests were not answered in time, by route.
	Causes []Count `json:"causes"`
	// Workspaces and Routes are those with the most requests that were not answered in time.
	Workspaces []Losses `json:"workspaces"`
	Routes     []Losses `json:"routes"`
	// FirstEvent and LongestPause are the time to the first event and the longest pause of
	// streams that were answered in full.
	FirstEvent   quantile.Summary `json:"first_event"`
	LongestPause quantile.Summary `json:"longest_pause"`
	// Moves counts the moves of runs by the last step that was logged.
	Moves []Count `json:"moves"`
	// Resumes holds how long it took to resume runs on another server, by what they were
	// resumed from.
	Resumes []ResumeTimes `json:"resumes"`
	// Lost counts generations that could not be resumed, by what was known of their server.
	Lost []Count `json:"lost"`
	// SilentStreams counts the verdicts on silent streams.
	SilentStreams []Count `json:"silent"`
	DroppedLines  int     `json:"left_out"`
}

// ResumeTimes holds how long it took to resume runs from one kind of copy.
type ResumeTimes struct {
	From     string           `json:"from"`
	Duration quantile.Summary `json:"took"`
}

// endEvents are the events that end a request.
var endEvents = map[event.ID]bool{
	event.RequestDone: true, event.RequestLate: true, event.RequestRefused: true, event.RequestFailed: true,
	event.GenerationLost: true, event.CallerLeft: true,
}

// counts maps a name to the number of its lines.
type counts map[string]int

func (c counts) list() []Count {
	l := make([]Count, 0, len(c))
	for _, n := range slices.Sorted(maps.Keys(c)) {
		l = append(l, Count{n, c[n]})
	}
	slices.SortStableFunc(l, func(a, b Count) int { return cmp.Compare(b.Count, a.Count) })
	return l
}

// serverKey is a server as seen within a scope: the log of an entry VM, or a request.
type serverKey struct{ scope, server string }

// aggregator collects a summary line by line.
type aggregator struct {
	ends, silent counts
	first, pause *quantile.Histogram
	resumes      map[string]*quantile.Histogram
	// moves holds the last step of each move, by request and source server. leaving holds
	// the servers that an entry VM knew to be leaving.
	moves   map[serverKey]string
	leaving map[serverKey]bool
	// lost holds the lines of lost generations until all lines are read, because the step
	// of a move in progress is logged after them.
	lost []Line
	// missed holds the lines of requests that were not answered in time.
	missed       []Line
	workspaces   *origins
	routes       *origins
	droppedLines int
}

// Summarize returns the summary of all lines.
func Summarize(all []Line) Summary {
	a := &aggregator{
		ends: counts{}, silent: counts{}, first: quantile.New(), pause: quantile.New(),
		resumes: map[string]*quantile.Histogram{}, moves: map[serverKey]string{}, leaving: map[serverKey]bool{},
		workspaces: newOrigins("workspace"), routes: newOrigins("route"),
	}
	l := slices.Clone(all)
	sortLines(l)
	for _, x := range l {
		a.add(x)
	}
	return a.summary()
}

func (a *aggregator) add(l Line) {
	if endEvents[l.Event] {
		a.ends[strings.TrimSpace(l.Name+" "+l.text("type"))]++
		a.workspaces.add(l)
		a.routes.add(l)
	}
	if l.Event != event.RequestDone && endEvents[l.Event] {
		a.missed = append(a.missed, l)
	}
	switch l.Event {
	case event.RequestDone, event.RequestLate:
		if l.Fields["events"] != nil {
			a.first.Record(l.duration("first"))
			a.pause.Record(l.duration("pause"))
		}
	case event.ServerState:
		a.leaving[serverKey{l.Source, l.text("server")}] = l.text("state") == stateLeaving
	case event.MoveStep:
		a.moves[serverKey{l.text("request"), l.text("from")}] = l.text("next") + " after " + l.text("outcome")
	case event.GenerationResumed:
		a.addResume(l)
	case event.GenerationLost:
		a.lost = append(a.lost, l)
	case event.StreamSilent:
		a.silent[l.text("verdict")]++
	case event.LinesLeftOut:
		a.droppedLines += int(l.number("beyond_bound") + l.number("output"))
	}
}

// stateLeaving is the logged state of a server that has announced its end.
const stateLeaving = "leaving"

// lossCause describes what the entry VM knew of the server of a lost generation.
func (a *aggregator) lossCause(l Line) string {
	p := serverKey{l.text("request"), l.text("server")}
	switch m, moved := a.moves[p]; {
	case moved:
		return "at a notice: " + m
	case a.leaving[serverKey{l.Source, l.text("server")}]:
		return "at a notice: no step of a move"
	default:
		return "without a notice"
	}
}

func (a *aggregator) addResume(l Line) {
	n := "a copy in hand"
	switch {
	case l.Fields["stopped"] == true:
		n = "a stop"
	case l.Fields["kept"] == true:
		n = "a copy that grew with it"
	}
	if a.resumes[n] == nil {
		a.resumes[n] = quantile.New()
	}
	a.resumes[n].Record(l.duration("took"))
}

func (a *aggregator) summary() Summary {
	moves := counts{}
	for _, m := range a.moves {
		moves[m]++
	}
	lost := counts{}
	for _, l := range a.lost {
		lost[a.lossCause(l)]++
	}
	causes := counts{}
	for _, l := range a.missed {
		causes[a.missCause(l)]++
	}
	x := Summary{
		Outcomes: a.ends.list(), Causes: causes.list(), FirstEvent: a.first.Summary(), LongestPause: a.pause.Summary(), Moves: moves.list(), Lost: lost.list(),
		SilentStreams: a.silent.list(), DroppedLines: a.droppedLines, Resumes: []ResumeTimes{},
		Workspaces: a.workspaces.list(a.droppedLines), Routes: a.routes.list(a.droppedLines),
	}
	for _, n := range slices.Sorted(maps.Keys(a.resumes)) {
		x.Resumes = append(x.Resumes, ResumeTimes{n, a.resumes[n].Summary()})
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

// duration returns the value of a field that holds seconds.
func (l Line) duration(key string) time.Duration {
	return time.Duration(l.number(key) * float64(time.Second))
}

// Text formats the summary for people.
func (s Summary) Text() string {
	var b strings.Builder
	list := func(title string, l []Count) {
		for _, c := range l {
			fmt.Fprintf(&b, "%-8s %6d  %s\n", title, c.Count, c.Name)
		}
	}
	times := func(title string, q quantile.Summary) {
		if q.Count > 0 {
			fmt.Fprintf(&b, "%-8s %6d  p50 %.0f, p95 %.0f, p99 %.0f, max %.0f ms\n", title, q.Count, q.P50, q.P95, q.P99, q.Max)
		}
	}
	list("ended", s.Outcomes)
	list("missed", s.Causes)
	writeLosses(&b, "route", s.Routes)
	writeLosses(&b, "workspace", s.Workspaces)
	times("first", s.FirstEvent)
	times("pause", s.LongestPause)
	list("moved", s.Moves)
	for _, r := range s.Resumes {
		times("resumed", r.Duration)
		fmt.Fprintf(&b, "%-16s  from %s\n", "", r.From)
	}
	list("lost", s.Lost)
	list("silent", s.SilentStreams)
	fmt.Fprintf(&b, "%-8s %6d  lines\n", "left out", s.DroppedLines)
	return b.String()
}
