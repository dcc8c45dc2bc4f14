package cmd

import "testing"

func TestWatch(t *testing.T) {
	s := newWardctl(t)
	s.run("apply", "-f", s.file("m.yaml", modelFile))
	s.expect(0, "1 changed model desk", "watch", "--from", "0", "--count", "1")
	s.expect(0, `"version": 1`, "watch", "--from", "0", "--count", "1", "-o", "json")
}
