package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases are the cases by their number.
var cases = map[string]func(c *run) bool{
	"pages":   playPages,
	"slashes": playSlashes,
	"behind":  playBehind,
}

// run is one play of a case.
type run struct {
	// root is the root of the repository, and folder a temporary one.
	root, folder string
	record       *record
	// trouble is set if the disruption is played.
	trouble bool
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(exitNoRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin2: no such case")
		os.Exit(exitNoRun)
	}
	root, err := os.Getwd()
	check(err)
	folder, err := os.MkdirTemp("", "review")
	check(err)
	r := &run{root: root, folder: folder, record: newRecord(os.Args[2]), trouble: os.Getenv("TROUBLE") != "0"}
	r.record.add("case %s, trouble %v", os.Args[1], r.trouble)
	held := play(r)
	endAll()
	if k := os.Getenv("KEEP_LOGS"); k != "" {
		l, _ := filepath.Glob(filepath.Join(folder, "*.log"))
		for _, f := range l {
			b, _ := os.ReadFile(f)
			_ = os.WriteFile(filepath.Join(k, filepath.Base(f)), b, 0o600)
		}
	}
	_ = os.RemoveAll(folder)
	if held {
		r.record.add("the rule held")
		os.Exit(exitHeld)
	}
	r.record.add("the rule was broken")
	os.Exit(exitBroken)
}
