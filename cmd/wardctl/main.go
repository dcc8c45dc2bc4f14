package main

import (
	"os"

	"github.com/wardridge/wardridge/cmd"
)

func main() {
	os.Exit(cmd.Control(os.Args[1:], os.Stdout, os.Stderr))
}
