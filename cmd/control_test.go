package cmd

import (
	"strings"
	"testing"
)

func TestHelpAndMistakes(t *testing.T) {
	s := newShell(t)
	for _, want := range []string{"apply", "get", "watch", "status", "explain", "drain", "check", "dev up", "dev load", "completion"} {
		s.want(0, want, "--help")
	}
	s.want(1, "unexpected argument", "aply")
	t.Setenv("SHELL", "/bin/bash")
	s.want(0, "complete", "completion")
}

func TestEveryCommandTellsWhatItDoes(t *testing.T) {
	s := newShell(t)
	for _, c := range []string{"apply", "get", "watch", "status", "explain", "drain", "check"} {
		n, out := s.run(c, "--help")
		if n != 0 || !strings.Contains(out, "Usage: wardctl "+c) {
			t.Errorf("%s --help: got %d and %q", c, n, out)
		}
	}
}
