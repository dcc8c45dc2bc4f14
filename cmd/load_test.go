package cmd

import "testing"

func TestLoadReportsOutcomes(t *testing.T) {
	s := newWardctl(t)
	args := []string{"dev", "load", "--entries", "127.0.0.1:1", "--controls", "127.0.0.1:1", "--requests", "3", "--per-second", "1000"}
	s.expect(0, "error not_started (ran: no): 3", args...)
	s.expect(0, "(no answer): not_started (ran: no)", args...)
	s.expect(0, `"type": "not_started"`, append(args, "-o", "json")...)
	s.expect(1, "3 requests were not answered in full", append(args, "--strict")...)
	s.expect(1, "must be one of", append(args, "--mix", "none")...)
}
