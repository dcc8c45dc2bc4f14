package cmd

import (
	"os"
	"path/filepath"
	"testing"
)

func TestMeasureWritesTablesAndPlots(t *testing.T) {
	s := newWardctl(t)
	args := []string{"dev", "measure", "--mixes", "skip-hire", "--factors", "0.2", "--seeds", "1", "--only", "default"}
	s.expect(0, "skip-hire at 0.2 of capacity, quiet", args...)
	d := t.TempDir()
	s.expect(0, "", append(args, "--out", d)...)
	for _, f := range []string{"TABLES.md", "skip-hire-stall.svg", "skip-hire-goodput.svg"} {
		if i, err := os.Stat(filepath.Join(d, f)); err != nil || i.Size() == 0 {
			t.Errorf("%s: got %v, want a file", f, err)
		}
	}
	s.expect(1, "no mix", "dev", "measure", "--mixes", "none")
}
