package cmd

import "testing"

func TestExplain(t *testing.T) {
	s := newShell(t)
	s.want(0, "request r1 of workspace dispatch on entry VM entry-1", "explain", "r1")
	s.want(0, "engine-1: room at once", "explain", "r1")
	s.want(0, `"step": "dispatch"`, "explain", "r1", "-o", "json")
}
