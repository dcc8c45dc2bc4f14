package cmd

import "testing"

func TestLoadReportsWhatCallersSee(t *testing.T) {
	s := newShell(t)
	args := []string{"dev", "load", "--entries", "127.0.0.1:1", "--controls", "127.0.0.1:1", "--requests", "3", "--per-second", "1000"}
	s.want(0, "error not_started (ran: no): 3", args...)
	s.want(0, "(no answer): not_started (ran: no)", args...)
	s.want(0, `"type": "not_started"`, append(args, "-o", "json")...)
	s.want(1, "3 requests were not answered whole", append(args, "--strict")...)
	s.want(1, "must be one of", append(args, "--mix", "none")...)
}
