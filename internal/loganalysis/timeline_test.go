package loganalysis_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/wardridge/wardridge/internal/loganalysis"
)

const requestLog = `   1.2 vm-1 {"level":"info","ts":"2026-03-09T15:44:00.0Z","msg":"platform_lost","event":204,"kind":"servers"}
   1.3 vm-2 {"level":"info","ts":"2026-03-09T15:44:01.0Z","msg":"server_state","event":407,"server":"i-1","state":"leaving"}
   1.4 vm-1 {"level":"info","ts":"2026-03-09T15:44:01.1Z","msg":"server_state","event":407,"server":"i-1","state":"lapsed"}
   1.4 vm-1 {"level":"info","ts":"2026-03-09T15:44:01.1Z","msg":"server_state","event":407,"server":"i-9","state":"leaving"}
something else {
   1.5 vm-1 {"level":"info","ts":"2026-03-09T15:44:00.5Z","msg":"server_chosen","event":312,"request":"q","server":"i-1","tokens":900}
   1.5 vm-1 {"level":"info","ts":"2026-03-09T15:44:00.5Z","msg":"server_chosen","event":312,"request":"other","server":"i-1"}
   2.9 vm-1 {"level":"warn","ts":"2026-03-09T15:44:02.9Z","msg":"generation_lost","event":309,"request":"q","server":"i-1"}
   9.9 vm-1 {"level":"info","ts":"2026-03-09T15:44:09.9Z","msg":"platform_back","event":205,"kind":"servers"}
`

func TestTimeline(t *testing.T) {
	all, err := loganalysis.Read("day.log", strings.NewReader(requestLog))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range loganalysis.Timeline(all, "q") {
		got = append(got, l.String())
	}
	want := []string{
		"15:44:00.000 day.log vm-1 platform_lost kind=servers",
		"15:44:00.500 day.log vm-1 server_chosen server=i-1 tokens=900",
		"15:44:01.100 day.log vm-1 server_state server=i-1 state=lapsed",
		"15:44:02.900 day.log vm-1 generation_lost server=i-1",
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("timeline of request q: got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestTimelineHasCondensedLines(t *testing.T) {
	const text = `{"ts":"2026-03-09T15:44:01Z","msg":"lines_condensed","event":117,"lines":["308 i-1@7 a b","303  a b","308 i-2@8 c"]}
`
	all, err := loganalysis.Read("day.log", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	for request, want := range map[string][]string{
		"a b": {"15:44:01.000 day.log attempt_failed condensed=true server=i-1@7", "15:44:01.000 day.log request_failed condensed=true"},
		"c":   {"15:44:01.000 day.log attempt_failed condensed=true server=i-2@8"},
	} {
		var got []string
		for _, l := range loganalysis.Timeline(all, request) {
			got = append(got, l.String())
		}
		if !slices.Equal(got, want) {
			t.Errorf("timeline of %q: got %q, want %q", request, got, want)
		}
	}
}

func TestTimelineOfUnknownRequestIsEmpty(t *testing.T) {
	all, err := loganalysis.Read("day.log", strings.NewReader(requestLog))
	if err != nil {
		t.Fatal(err)
	}
	if got := loganalysis.Timeline(all, "none"); len(got) != 0 {
		t.Errorf("timeline of an unknown request: got %v, want no lines", got)
	}
}
