package load

import (
	"strconv"
	"strings"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// A report lists failures by request id, so that the decisions on them can be looked up,
// and at most maxFailures of them.
func TestReportListsFailuresByID(t *testing.T) {
	c := &Class{Name: "chat", Chat: true}
	s := newSummary()
	s.sent = 40
	for i := range 30 {
		s.add(result{class: c, request: api.RequestID("r" + strconv.Itoa(i)), fault: fault.New(fault.NoServer, "none").WithRan(api.RanNo)})
	}
	s.add(result{class: c, tokens: 1})
	r := s.report(Options{}, 0)
	if len(r.Failures) != maxFailures || r.Failures[0].Request != "r0" || r.Failures[0].Ran != api.RanNo {
		t.Errorf("failures: got %+v, want the first %d by id", r.Failures, maxFailures)
	}
	if got := r.Text(); !strings.Contains(got, "failed chat r3: no_server (ran: no)") {
		t.Errorf("text: got %q, want the failures listed by id", got)
	}
	if got, want := s.progress(50).Text(), "40 of 50 sent, 31 answered, 1 whole"; got != want {
		t.Errorf("progress: got %q, want %q", got, want)
	}
}
