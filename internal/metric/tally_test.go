package metric

import (
	"encoding/json"
	"fmt"
	"testing"
)

func TestTalliesAreBoundedAndDropNames(t *testing.T) {
	s := New()
	s.Count(ByServer, "s-1", "served")
	s.Count(ByServer, "s-1", "served")
	s.Count(ByServer, "s-1", "lost")
	s.Count(ByWorkspace, "w", "done")
	for i := range 2 * maxNames {
		s.Count(ByServer, fmt.Sprint("more-", i), "served")
	}
	read := func() map[string]map[string]int64 {
		var v struct {
			Servers    map[string]map[string]int64 `json:"attempts_by_server"`
			Workspaces map[string]map[string]int64 `json:"requests_by_workspace"`
		}
		if err := json.Unmarshal([]byte(s.vars.String()), &v); err != nil {
			t.Fatal(err)
		}
		if got := v.Workspaces["w"]["done"]; got != 1 {
			t.Errorf("workspace: got %d, want 1", got)
		}
		return v.Servers
	}
	got := read()
	if got["s-1"]["served"] != 2 || got["s-1"]["lost"] != 1 {
		t.Errorf("server: got %v, want 2 served and 1 lost", got["s-1"])
	}
	if len(got) > maxNames+1 || got[otherNames]["served"] == 0 {
		t.Errorf("got %d names, want at most %d with further names counted together", len(got), maxNames+1)
	}
	s.Retain(ByServer, func(n string) bool { return n == "s-1" })
	if got := read(); len(got) != 2 || got["s-1"] == nil {
		t.Errorf("after Retain dropped the others: got %v, want s-1 and the shared name", got)
	}
}
