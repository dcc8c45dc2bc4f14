package main

import (
	"os"

	"github.com/wardridge/wardridge/cmd"
)

func main() {
	os.Exit(cmd.Serve(os.Args[1:]))
}
