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

// StallThreshold is the gap between tokens above which the excess counts as a stall.
const StallThreshold = entry.StallThreshold

// ErrorCount is the number of requests that ended with one type of error.
type ErrorCount struct {
	Type  string  `json:"type"`
	Ran   api.Ran `json:"ran"`
	Count int     `json:"count"`
}

// Failure identifies a request that ended with an error, so that the decisions on it can
// be looked up.
type Failure struct {
	Request api.RequestID `json:"request"`
	Class   string        `json:"class"`
	Type    string        `json:"type"`
	Ran     api.Ran       `json:"ran"`
}

// Progress counts the requests of a run that is under way.
type Progress struct {
	Planned, Sent, Answered, Complete int
}

// ClassReport summarizes what the callers of one class saw.
type ClassReport struct {
	Class        string           `json:"class"`
	Requests     int              `json:"requests"`
	Complete     int              `json:"whole"`
	FirstToken   quantile.Summary `json:"first_token"`
	TokenGaps    quantile.Summary `json:"token_gaps"`
	Stalls       quantile.Summary `json:"stall_per_stream"`
	StallTotalMS float64          `json:"stall_total_ms"`
}

// Report summarizes what the callers of a run saw.
type Report struct {
	Mix      string        `json:"mix"`
	Seed     uint64        `json:"seed"`
	Seconds  float64       `json:"seconds"`
	Requests int           `json:"requests"`
	Complete int           `json:"whole"`
	Tokens   int           `json:"tokens"`
	All      ClassReport   `json:"all"`
	Classes  []ClassReport `json:"classes"`
	Errors   []ErrorCount  `json:"errors"`
	// Failures are the first requests that ended with an error, at most maxFailures.
	Failures []Failure `json:"failures"`
	// Violations lists the answers that violated a guarantee.
	Violations []string `json:"wrong"`
	// Preemptions is the number that engines reported to the entry VMs during the run.
	Preemptions int64 `json:"preemptions"`
}

type classSummary struct {
	requests, complete        int
	firstTokens, gaps, stalls *quantile.Histogram
	stall                     time.Duration
}

func newClassSummary() *classSummary {
	return &classSummary{firstTokens: quantile.New(), gaps: quantile.New(), stalls: quantile.New()}
}

type summary struct {
	all        *classSummary
	classes    map[string]*classSummary
	errors     map[ErrorCount]int
	violations []string
	tokens     int
	// failures are the first requests that ended with an error.
	failures []Failure
	// sent counts all requests sent so far.
	sent int
}

// maxFailures bounds the failures listed in a report; 20 are enough to look into each kind.
const maxFailures = 20

func newSummary() *summary {
	return &summary{all: newClassSummary(), classes: map[string]*classSummary{}, errors: map[ErrorCount]int{}}
}

func (s *summary) add(r result) {
	c, ok := s.classes[r.class.Name]
	if !ok {
		c = newClassSummary()
		s.classes[r.class.Name] = c
	}
	c.add(r)
	s.all.add(r)
	s.tokens += r.tokens
	if r.fault != nil {
		s.errors[ErrorCount{Type: r.fault.Code.Kind().Type, Ran: r.fault.Ran}]++
		s.addFailure(r)
	}
	if r.violation != "" {
		s.violations = append(s.violations, r.class.Name+": "+r.violation)
	}
}

// addFailure lists a failure unless there are maxFailures already.
func (s *summary) addFailure(r result) {
	if len(s.failures) < maxFailures {
		s.failures = append(s.failures, Failure{Request: r.request, Class: r.class.Name, Type: r.fault.Code.Kind().Type, Ran: r.fault.Ran})
	}
}

// progress returns the progress of a run of so many planned requests.
func (s *summary) progress(planned int) Progress {
	return Progress{Planned: planned, Sent: s.sent, Answered: s.all.requests, Complete: s.all.complete}
}

func (c *classSummary) add(r result) {
	c.requests++
	if r.fault == nil && r.violation == "" {
		c.complete++
	}
	if r.firstToken > 0 {
		c.firstTokens.Record(r.firstToken)
	}
	if !r.class.Chat || r.tokens == 0 {
		return
	}
	stall := time.Duration(0)
	for _, g := range r.gaps {
		c.gaps.Record(g)
		stall += max(0, g-StallThreshold)
	}
	c.stalls.Record(stall)
	c.stall += stall
}

func (c *classSummary) report(name string) ClassReport {
	return ClassReport{
		Class: name, Requests: c.requests, Complete: c.complete,
		FirstToken: c.firstTokens.Summary(), TokenGaps: c.gaps.Summary(), Stalls: c.stalls.Summary(),
		StallTotalMS: float64(c.stall.Milliseconds()),
	}
}

func (s *summary) report(o Options, d time.Duration) Report {
	r := Report{
		Mix: o.Mix.Name, Seed: o.Seed, Seconds: d.Seconds(), Requests: s.all.requests, Complete: s.all.complete,
		Tokens: s.tokens, All: s.all.report("all"), Errors: []ErrorCount{}, Violations: append([]string{}, s.violations...),
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

// Text formats the report for the terminal.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "mix %s, seed %d: %d requests in %.1f s, %d whole, %d tokens, %d preemptions\n", r.Mix, r.Seed, r.Requests, r.Seconds, r.Complete, r.Tokens, r.Preemptions)
	fmt.Fprintf(&b, "%-20s %8s %8s | %29s | %37s | %s\n", "class", "requests", "whole", "first token p50/p95/p99 ms", "token gap p50/p95/p99/p99.9 ms", "stall p50/p99/total ms")
	for _, c := range append(r.Classes, r.All) {
		fmt.Fprintf(&b, "%-20s %8d %8d | %9.1f %9.1f %9.1f | %9.1f %8.1f %8.1f %9.1f | %.1f %.1f %.0f\n",
			c.Class, c.Requests, c.Complete, c.FirstToken.P50, c.FirstToken.P95, c.FirstToken.P99,
			c.TokenGaps.P50, c.TokenGaps.P95, c.TokenGaps.P99, c.TokenGaps.P999, c.Stalls.P50, c.Stalls.P99, c.StallTotalMS)
	}
	for _, e := range r.Errors {
		fmt.Fprintf(&b, "error %s (ran: %s): %d\n", e.Type, e.Ran, e.Count)
	}
	for _, f := range r.Failures {
		fmt.Fprintf(&b, "failed %s %s: %s (ran: %s)\n", f.Class, requestLabel(f.Request), f.Type, f.Ran)
	}
	for _, w := range r.Violations {
		fmt.Fprintf(&b, "WRONG %s\n", w)
	}
	return b.String()
}

// requestLabel returns a request's id, or a note if no entry VM answered.
func requestLabel(r api.RequestID) string {
	if r == "" {
		return "(no answer)"
	}
	return string(r)
}

// Text formats the progress for the terminal.
func (p Progress) Text() string {
	return fmt.Sprintf("%d of %d sent, %d answered, %d whole", p.Sent, p.Planned, p.Answered, p.Complete)
}
