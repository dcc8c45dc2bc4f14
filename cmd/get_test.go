package cmd

import "testing"

func TestGet(t *testing.T) {
	s := newWardctl(t)
	s.run("apply", "-f", s.file("m.yaml", modelFile))
	s.expect(0, "version: 1", "get", "model", "desk")
	s.expect(0, `"weights": "1"`, "get", "model", "-o", "json")
	s.expect(1, "not_found", "get", "model", "none")
	s.expect(1, "must be one of", "get", "modl")
}
