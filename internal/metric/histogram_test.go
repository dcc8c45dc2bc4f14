package metric

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

func TestLatenciesAreBounded(t *testing.T) {
	s := New()
	for i := range 100 {
		s.Observe("safe", "done", time.Duration(i+1)*time.Millisecond)
	}
	for i := range 200 {
		s.Observe("safe", fmt.Sprint("outcome-", i), time.Second)
	}
	var got struct {
		Times map[string]summary `json:"latency_ms"`
	}
	if err := json.Unmarshal([]byte(s.vars.String()), &got); err != nil {
		t.Fatal(err)
	}
	if x := got.Times["safe/done"]; x.Count != 100 || x.P50 < 49 || x.P50 > 51 || x.Max != 100 {
		t.Errorf("got %+v, want 100 latencies with a median near 50 ms", x)
	}
	if n := len(got.Times); n > maxNames+1 {
		t.Errorf("histograms: got %d, want at most %d", n, maxNames+1)
	}
	if x := got.Times[otherNames]; x.Count == 0 {
		t.Error("names beyond the bound: got none counted together, want some")
	}
}
