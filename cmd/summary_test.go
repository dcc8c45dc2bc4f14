package cmd

import (
	"os"
	"path/filepath"
	"testing"
)

func TestSummary(t *testing.T) {
	s := newWardctl(t)
	a := filepath.Join(t.TempDir(), "a.log")
	const line = `{"level":"warn","ts":"2026-03-09T15:44:02.9Z","msg":"generation_lost","event":309,"request":"q7","server":"i-1"}`
	if err := os.WriteFile(a, []byte(line+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.expect(0, "1  without a notice", "summary", a)
	s.expect(0, `"lost": [`, "summary", a, "-o", "json")
	s.expect(1, "unreadable_file", "summary", a+".none")
}
