package cmd

import (
	"strings"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
)

func TestApply(t *testing.T) {
	s := newWardctl(t)
	f := s.file("m.yaml", modelFile)
	s.expect(0, "model desk applied at version 1", "apply", "-f", f)
	s.expect(0, "model desk unchanged at version 1", "apply", "-f", f)
	changed := s.file("m.yaml", strings.Replace(modelFile, `"1"`, `"2"`, 1))
	s.expect(1, "version_conflict", "apply", "-f", changed)
	s.expect(1, "nothing was changed", "apply", "-f", changed)
	s.expect(0, "applied at version 2", "apply", "-f", changed, "--replace")
	versioned := s.file("m.yaml", strings.Replace(modelFile, "name: desk", "name: desk\nversion: 2", 1))
	s.expect(0, "applied at version 3", "apply", "-f", versioned)
	older := strings.Replace(modelFile, "name: desk", "name: desk\nversion: 1", 1)
	s.expect(1, "is at version 3, not at 1", "apply", "-f", s.file("m.yaml", strings.Replace(older, `"1"`, `"9"`, 1)))
	s.expect(1, "colour", "apply", "-f", s.file("m.yaml", strings.Replace(modelFile, "weights", "colour: red, weights", 1)))
	s.expect(1, "unreadable_file", "apply", "-f", "none.yaml")
}

func TestApplyWaitsUntilInForceEverywhere(t *testing.T) {
	s := newWardctl(t)
	s.status = api.NodeStatus{VM: "entry-1", ConfigVersion: 1, Members: []api.MemberStatus{{VM: "entry-2", State: api.MemberStatusStateServing, ConfigVersion: 1}}}
	s.expect(0, "in force on every entry VM at version 1", "apply", "--wait", "-f", s.file("m.yaml", modelFile))
	s.status.Members[0].ConfigVersion = 0
	s.expect(1, "entry-2", "apply", "--wait", "--wait-for", "150ms", "-f", s.file("m.yaml", modelFile))
	s.status.Members[0].State = api.MemberStatusStateSuspect
	s.expect(1, "entry-2 (suspect)", "apply", "--wait", "--wait-for", "150ms", "-f", s.file("m.yaml", modelFile))
}
