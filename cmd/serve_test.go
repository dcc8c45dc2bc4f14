package cmd

import "testing"

func TestServeChecksSettings(t *testing.T) {
	s := newWardctl(t)
	if got := Serve([]string{"--check", s.file("a.ini", validSettings)}); got != 0 {
		t.Errorf("valid settings: got status %d, want 0", got)
	}
	if got := Serve([]string{s.file("a.ini", validSettings+"addr = x\n")}); got != 1 {
		t.Errorf("unknown key: got status %d, want 1", got)
	}
	if got := Serve([]string{"none.ini"}); got != 1 {
		t.Errorf("missing file: got status %d, want 1", got)
	}
}
