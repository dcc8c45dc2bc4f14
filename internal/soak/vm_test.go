package soak

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against signalling a restarted process before it has started, because the log
// still has the start line of the process before it.
func TestEarlierStartDoesNotCountForNewProcess(t *testing.T) {
	const line = `{"level":"info","msg":"started","event":103}` + "\n"
	v := &vm{logPath: filepath.Join(t.TempDir(), "vm.log"), incarnation: 2}
	for _, c := range []struct {
		log  string
		want bool
	}{{line, false}, {line + "{}\n" + line, true}} {
		if err := os.WriteFile(v.logPath, []byte(c.log), fileMode); err != nil {
			t.Fatal(err)
		}
		if got, err := v.hasStarted(); got != c.want || err != nil {
			t.Errorf("log %q: got started %v, %v, want %v", c.log, got, err, c.want)
		}
	}
}
