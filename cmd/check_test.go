package cmd

import (
	"testing"

	"github.com/wardridge/wardridge/internal/sample"
)

const ini = "[node]\nname = a\ndomain = d\nlisten = 127.0.0.1:1\ncontrol = 127.0.0.1:2\n[platform]\naddress = 127.0.0.1:3\n"

func TestCheck(t *testing.T) {
	s := newShell(t)
	s.want(0, "settings are valid", "check", s.file("a.ini", ini))
	s.want(1, "unknown key", "check", s.file("a.ini", ini+"addr = x\n"))
	s.want(0, "8 resources are valid", "check", s.file("r.yaml", string(sample.Resources)))
	s.want(1, "names model desk, which is not declared", "check", s.file("r.yaml", "kind: adapter\nname: a\nspec: {model: desk, weights: x}\n"))
	s.want(1, "unreadable_file", "check", "none.yaml")
}
