package cmd

import (
	"strings"
	"testing"
)

func TestHelpAndUnknownCommand(t *testing.T) {
	s := newWardctl(t)
	for _, want := range []string{"apply", "get", "watch", "status", "explain", "drain", "check", "dev up", "dev load", "completion"} {
		s.expect(0, want, "--help")
	}
	s.expect(1, "unexpected argument", "aply")
	t.Setenv("SHELL", "/bin/bash")
	s.expect(0, "complete", "completion")
}

func TestEveryCommandHasHelp(t *testing.T) {
	s := newWardctl(t)
	for _, c := range []string{"apply", "get", "watch", "status", "explain", "drain", "check"} {
		n, out := s.run(c, "--help")
		if n != 0 || !strings.Contains(out, "Usage: wardctl "+c) {
			t.Errorf("%s --help: got %d and %q", c, n, out)
		}
	}
}
