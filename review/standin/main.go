package main

import (
	"fmt"
	"os"
)

// Exit statuses of a script.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases are the scripts by name; each returns the number of times that its rule was broken.
var cases = map[string]func(b *bench) (int, error){"moved": moved, "stopped": stopped, "spoiled": spoiled, "lost": lost, "mixed": mixed}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE RECORD")
		return notRun
	}
	b, err := newBench(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer b.close()
	n, err := cases[os.Args[1]](b)
	switch {
	case err != nil:
		b.say("the case could not run: %v", err)
		return notRun
	case n > 0:
		b.say("the rule was broken %d times", n)
		return ruleBroken
	default:
		b.say("the rule held")
		return ruleHeld
	}
}
