package load

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/entry"
	"github.com/wardridge/wardridge/internal/quantile"
)

// StallBound is the gap between tokens beyond which it counts as a stall.
const StallBound = entry.StallBound

// ErrorCount is how often one type of error came.
type ErrorCount struct {
	Type  string  `json:"type"`
	Ran   api.Ran `json:"ran"`
	Count int     `json:"count"`
}

// Failure is one request that was not answered whole, so that its decisions can be
// looked up.
type Failure struct {
	Request api.RequestID `json:"request"`
	Class   string        `json:"class"`
	Type    string        `json:"type"`
	Ran     api.Ran       `json:"ran"`
}

// Progress is how far a run has come.
type Progress struct {
	Planned, Sent, Answered, Whole int
}

// ClassReport is what the callers of one class saw.
type ClassReport struct {
	Class    string           `json:"class"`
	Requests int              `json:"requests"`
	Whole    int              `json:"whole"`
	First    quantile.Summary `json:"first_token"`
	Gaps     quantile.Summary `json:"token_gaps"`
	Stalls   quantile.Summary `json:"stall_per_stream"`
	StallSum float64          `json:"stall_total_ms"`
}

// Report is what the callers of a run saw.
type Report struct {
	Mix      string        `json:"mix"`
	Seed     uint64        `json:"seed"`
	Seconds  float64       `json:"seconds"`
	Requests int           `json:"requests"`
	Whole    int           `json:"whole"`
	Tokens   int           `json:"tokens"`
	All      ClassReport   `json:"all"`
	Classes  []ClassReport `json:"classes"`
	Errors   []ErrorCount  `json:"errors"`
	// Failures are the first requests that got an error.
	Failures []Failure `json:"failures"`
	// Wrong lists answers that broke a promise.
	Wrong []string `json:"wrong"`
	// Preemptions is what the engines told the entry VMs during the run.
	Preemptions int64 `json:"preemptions"`
}

type class struct {
	requests, whole     int
	first, gaps, stalls *quantile.Histogram
	stall               time.Duration
}

func newClass() *class {
	return &class{first: quantile.New(), gaps: quantile.New(), stalls: quantile.New()}
}

type summary struct {
	all     *class
	classes map[string]*class
	errors  map[ErrorCount]int
	wrong   []string
	tokens  int
	// failures are the first of those that got an error, sent counts all.
	failures []Failure
	sent     int
}

// failuresMost bounds the failures that are named: enough to look into each kind.
const failuresMost = 20

func newSummary() *summary {
	return &summary{all: newClass(), classes: map[string]*class{}, errors: map[ErrorCount]int{}}
}

func (s *summary) add(r result) {
	c, ok := s.classes[r.class.Name]
	if !ok {
		c = newClass()
		s.classes[r.class.Name] = c
	}
	c.add(r)
	s.all.add(r)
	s.tokens += r.tokens
	if r.fault != nil {
		s.errors[ErrorCount{Type: r.fault.Code.Kind().Type, Ran: r.fault.Ran}]++
		s.fail(r)
	}
	if r.wrong != "" {
		s.wrong = append(s.wrong, r.class.Name+": "+r.wrong)
	}
}

// fail names a failure while there are few.
func (s *summary) fail(r result) {
	if len(s.failures) < failuresMost {
		s.failures = append(s.failures, Failure{Request: r.request, Class: r.class.Name, Type: r.fault.Code.Kind().Type, Ran: r.fault.Ran})
	}
}

// progress tells how far a run of so many requests has come.
func (s *summary) progress(planned int) Progress {
	return Progress{Planned: planned, Sent: s.sent, Answered: s.all.requests, Whole: s.all.whole}
}

func (c *class) add(r result) {
	c.requests++
	if r.fault == nil && r.wrong == "" {
		c.whole++
	}
	if r.first > 0 {
		c.first.Record(r.first)
	}
	if !r.class.Chat || r.tokens == 0 {
		return
	}
	stall := time.Duration(0)
	for _, g := range r.gaps {
		c.gaps.Record(g)
		stall += max(0, g-StallBound)
	}
	c.stalls.Record(stall)
	c.stall += stall
}

func (c *class) report(name string) ClassReport {
	return ClassReport{
		Class: name, Requests: c.requests, Whole: c.whole,
		First: c.first.Summary(), Gaps: c.gaps.Summary(), Stalls: c.stalls.Summary(),
		StallSum: float64(c.stall.Milliseconds()),
	}
}

func (s *summary) report(o Options, d time.Duration) Report {
	r := Report{
		Mix: o.Mix.Name, Seed: o.Seed, Seconds: d.Seconds(), Requests: s.all.requests, Whole: s.all.whole,
		Tokens: s.tokens, All: s.all.report("all"), Errors: []ErrorCount{}, Wrong: append([]string{}, s.wrong...),
		Failures: append([]Failure{}, s.failures...),
	}
	for n, c := range s.classes {
		r.Classes = append(r.Classes, c.report(n))
	}
	sort.Slice(r.Classes, func(i, j int) bool { return r.Classes[i].Class < r.Classes[j].Class })
	for e, n := range s.errors {
		e.Count = n
		r.Errors = append(r.Errors, e)
	}
	sort.Slice(r.Errors, func(i, j int) bool {
		return r.Errors[i].Type+string(r.Errors[i].Ran) < r.Errors[j].Type+string(r.Errors[j].Ran)
	})
	return r
}

// Text writes the report for a person.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "mix %s, seed %d: %d requests in %.1f s, %d whole, %d tokens, %d preemptions\n", r.Mix, r.Seed, r.Requests, r.Seconds, r.Whole, r.Tokens, r.Preemptions)
	fmt.Fprintf(&b, "%-20s %8s %8s | %29s | %37s | %s\n", "class", "requests", "whole", "first token p50/p95/p99 ms", "token gap p50/p95/p99/p99.9 ms", "stall p50/p99/total ms")
	for _, c := range append(r.Classes, r.All) {
		fmt.Fprintf(&b, "%-20s %8d %8d | %9.1f %9.1f %9.1f | %9.1f %8.1f %8.1f %9.1f | %.1f %.1f %.0f\n",
			c.Class, c.Requests, c.Whole, c.First.P50, c.First.P95, c.First.P99,
			c.Gaps.P50, c.Gaps.P95, c.Gaps.P99, c.Gaps.P999, c.Stalls.P50, c.Stalls.P99, c.StallSum)
	}
	for _, e := range r.Errors {
		fmt.Fprintf(&b, "error %s (ran: %s): %d\n", e.Type, e.Ran, e.Count)
	}
	for _, f := range r.Failures {
		fmt.Fprintf(&b, "failed %s %s: %s (ran: %s)\n", f.Class, named(f.Request), f.Type, f.Ran)
	}
	for _, w := range r.Wrong {
		fmt.Fprintf(&b, "WRONG %s\n", w)
	}
	return b.String()
}

// named gives a request's id for a person.
func named(r api.RequestID) string {
	if r == "" {
		return "(no answer)"
	}
	return string(r)
}

// Text writes the progress for a person.
func (p Progress) Text() string {
	return fmt.Sprintf("%d of %d sent, %d answered, %d whole", p.Sent, p.Planned, p.Answered, p.Whole)
}
