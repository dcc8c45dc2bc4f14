package cmd

import "testing"

func TestGet(t *testing.T) {
	s := newShell(t)
	s.run("apply", "-f", s.file("m.yaml", model))
	s.want(0, "version: 1", "get", "model", "desk")
	s.want(0, `"weights": "1"`, "get", "model", "-o", "json")
	s.want(1, "not_found", "get", "model", "none")
	s.want(1, "must be one of", "get", "modl")
}
