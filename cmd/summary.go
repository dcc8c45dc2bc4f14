package cmd

import "github.com/wardridge/wardridge/internal/loganalysis"

// summaryCommand summarizes logs.
type summaryCommand struct {
	Logs []string `arg:"" help:"Log files of entry VMs; - is standard input." type:"path"`
}

// Run reads logs and prints how requests ended, the outcomes of moves, and why generations
// were lost.
func (c *summaryCommand) Run(e *environment) error {
	all, err := readLogs(c.Logs)
	if err != nil {
		return err
	}
	s := loganalysis.Summarize(all)
	if e.wantsJSON() {
		return e.writeJSON(s)
	}
	return e.printf("%s", s.Text())
}
