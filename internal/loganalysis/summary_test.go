package loganalysis_test

import (
	"strings"
	"testing"

	"github.com/wardridge/wardridge/internal/loganalysis"
)

const summaryLog = `1 vm-1 {"ts":"2026-03-09T15:44:00Z","msg":"request_done","event":302,"request":"a","took":0.02}
1 vm-1 {"ts":"2026-03-09T15:44:01Z","msg":"request_done","event":302,"request":"b","events":20,"first":0.5,"pause":0.06}
1 vm-2 {"ts":"2026-03-09T15:44:01Z","msg":"request_late","event":313,"request":"c","route":"r1","cause":"pause","events":20,"first":1,"pause":0.3}
1 vm-2 {"ts":"2026-03-09T15:44:02Z","msg":"request_refused","event":301,"request":"d","type":"no_server"}
1 vm-2 {"ts":"2026-03-09T15:44:02Z","msg":"request_refused","event":301,"request":"j","type":"queue_full","route":"r1","waited":0,"waiting":3,"forecast":0.9,"behind":false}
1 vm-2 {"ts":"2026-03-09T15:44:02Z","msg":"request_refused","event":301,"request":"k","type":"queue_full","route":"r1","waited":0.15}
1 vm-2 {"ts":"2026-03-09T15:44:02Z","msg":"request_refused","event":301,"request":"l","type":"queue_full","route":"r1","waited":0,"waiting":0,"forecast":0.1,"behind":true}
1 vm-1 {"ts":"2026-03-09T15:44:02Z","msg":"server_state","event":407,"server":"s1","state":"leaving"}
1 vm-1 {"ts":"2026-03-09T15:44:02.1Z","msg":"move_step","event":310,"request":"e","from":"s1","outcome":"copied","next":"stop"}
1 vm-1 {"ts":"2026-03-09T15:44:02.2Z","msg":"move_step","event":310,"request":"e","from":"s1","outcome":"copied","next":"resume"}
1 vm-1 {"ts":"2026-03-09T15:44:02.3Z","msg":"generation_resumed","event":304,"request":"e","from":"s1","to":"s2","stopped":true,"kept":false,"took":0.02}
1 vm-1 {"ts":"2026-03-09T15:44:04Z","msg":"generation_lost","event":309,"request":"f","server":"s1"}
1 vm-1 {"ts":"2026-03-09T15:44:04.1Z","msg":"move_step","event":310,"request":"f","from":"s1","outcome":"silent","next":"give up"}
1 vm-1 {"ts":"2026-03-09T15:44:04.1Z","msg":"generation_lost","event":309,"request":"g","server":"s1"}
1 vm-2 {"ts":"2026-03-09T15:44:04.1Z","msg":"generation_lost","event":309,"request":"h","server":"s1"}
1 vm-2 {"ts":"2026-03-09T15:44:05Z","msg":"stream_silent","event":314,"request":"i","server":"s3","verdict":"abandon"}
1 vm-2 {"ts":"2026-03-09T15:44:05Z","msg":"generation_resumed","event":304,"request":"i","from":"s3","to":"s2","stopped":false,"kept":true,"took":0.03}
1 vm-2 {"ts":"2026-03-09T15:44:06Z","msg":"lines_left_out","event":108,"beyond_bound":7,"output":1}
`

func TestSummarize(t *testing.T) {
	all, err := loganalysis.Read("day.log", strings.NewReader(summaryLog))
	if err != nil {
		t.Fatal(err)
	}
	got := loganalysis.Summarize(all).Text()
	for _, want := range []string{
		"ended         3  generation_lost\n", "ended         2  request_done\n", "ended         1  request_late\n",
		"ended         1  request_refused no_server\n",
		"missed        1  r1 late: pause\n", "missed        1  r1 refused: queue_full, by forecast\n",
		"missed        1  r1 refused: queue_full, after a wait\n", "missed        1  r1 refused: queue_full, late already while others were refused\n",
		"missed        1  - lost: at a notice: give up after silent\n", "missed        1  - refused: no_server\n",
		"first         2  p50 500, p95 1000,", "pause         2  p50 60, p95 300,",
		"moved         1  give up after silent\n", "moved         1  resume after copied\n",
		"resumed       1  p50 30,", "from a copy that grew with it\n", "resumed       1  p50 20,", "from a stop\n",
		"lost          1  at a notice: give up after silent\n", "lost          1  at a notice: no step of a move\n",
		"lost          1  without a notice\n", "silent        1  abandon\n", "left out      8  lines\n",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("summary: got\n%s\nwant it to contain %q", got, want)
		}
	}
}

func TestSummarizeNoLines(t *testing.T) {
	if got, want := loganalysis.Summarize(nil).Text(), "left out      0  lines\n"; got != want {
		t.Errorf("summary of no lines: got %q, want %q", got, want)
	}
}
