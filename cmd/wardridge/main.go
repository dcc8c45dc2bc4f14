// Command wardridge is the process on each entry VM.
package main

import (
	"os"

	"github.com/wardridge/wardridge/cmd"
)

func main() {
	os.Exit(cmd.Serve(os.Args[1:]))
}
