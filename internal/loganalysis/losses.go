package loganalysis

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/wardridge/wardridge/internal/event"
)

const (
	// maxOrigins is the number of workspaces and of routes that a summary shows.
	maxOrigins = 10
	// maxDroppedShare is the ratio of dropped lines to lines of ended requests up to which the
	// number of requests is taken from the log. Beyond it, too many lines of requests that
	// succeeded may be missing.
	maxDroppedShare = 0.01
)

// Losses holds how the requests of one workspace or route ended that were not answered in time.
type Losses struct {
	Name    string `json:"name"`
	Refused int    `json:"refused"`
	Failed  int    `json:"failed"`
	Late    int    `json:"late"`
	Lost    int    `json:"lost"`
	// Requests counts all ended requests, and Share is their share of those of all names. Both
	// are zero if the log doesn't hold them.
	Requests int     `json:"requests,omitempty"`
	Share    float64 `json:"share,omitempty"`
}

// Total is the number of requests that were not answered in time.
func (l Losses) Total() int {
	return l.Refused + l.Failed + l.Late + l.Lost
}

// String formats the losses without their total.
func (l Losses) String() string {
	t := fmt.Sprintf("%s: refused %d, failed %d, late %d, lost %d", l.Name, l.Refused, l.Failed, l.Late, l.Lost)
	if l.Requests > 0 {
		t += fmt.Sprintf("; %.1f%% of its %d requests, which are %.1f%% of all", 100*float64(l.Total())/float64(l.Requests), l.Requests, 100*l.Share)
	}
	return t
}

// origins collects the losses by the value of a log field.
type origins struct {
	field string
	names map[string]*Losses
	// ends counts the lines that end a request, and answers those of requests that were answered
	// in time. answersUnnamed counts the answers whose lines lack the field.
	ends, answers, answersUnnamed int
}

func newOrigins(field string) *origins {
	return &origins{field: field, names: map[string]*Losses{}}
}

// add counts a line that ends a request.
func (o *origins) add(l Line) {
	n := l.text(o.field)
	if n == "" {
		// The request had no workspace, or was refused before this field was known.
		n = "-"
	}
	x := o.names[n]
	if x == nil {
		x = &Losses{Name: n}
		o.names[n] = x
	}
	o.ends++
	x.Requests++
	switch l.Event {
	case event.RequestRefused:
		x.Refused++
	case event.RequestFailed:
		x.Failed++
	case event.RequestLate:
		x.Late++
	case event.GenerationLost:
		x.Lost++
	case event.RequestDone:
		o.answers++
		if l.Fields[o.field] == nil {
			o.answersUnnamed++
		}
	}
}

// holdsRequests reports whether the log holds the lines of nearly all requests with this field.
func (o *origins) holdsRequests(dropped int) bool {
	return o.answers > 0 && o.answersUnnamed == 0 && float64(dropped) <= maxDroppedShare*float64(o.ends)
}

// list returns those with the most requests that were not answered in time.
func (o *origins) list(dropped int) []Losses {
	l := []Losses{}
	for _, n := range slices.Sorted(maps.Keys(o.names)) {
		x := *o.names[n]
		if x.Total() == 0 {
			continue
		}
		if o.holdsRequests(dropped) {
			x.Share = float64(x.Requests) / float64(o.ends)
		} else {
			x.Requests = 0
		}
		l = append(l, x)
	}
	slices.SortStableFunc(l, func(a, b Losses) int { return cmp.Compare(b.Total(), a.Total()) })
	return l[:min(len(l), maxOrigins)]
}

// writeLosses writes one line for each of the losses.
func writeLosses(b *strings.Builder, title string, all []Losses) {
	for _, l := range all {
		fmt.Fprintf(b, "%-9s %5d  %s\n", title, l.Total(), l)
	}
}
