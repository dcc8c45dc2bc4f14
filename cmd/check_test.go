package cmd

import (
	"testing"

	"github.com/wardridge/wardridge/internal/sample"
)

const validSettings = "[node]\nname = a\ndomain = d\nlisten = 127.0.0.1:1\ncontrol = 127.0.0.1:2\n[platform]\naddress = 127.0.0.1:3\n"

func TestCheck(t *testing.T) {
	s := newWardctl(t)
	s.expect(0, "settings are valid", "check", s.file("a.ini", validSettings))
	s.expect(1, "unknown key", "check", s.file("a.ini", validSettings+"addr = x\n"))
	s.expect(0, "8 resources are valid", "check", s.file("r.yaml", string(sample.Resources)))
	s.expect(1, "names model desk, which is not declared", "check", s.file("r.yaml", "kind: adapter\nname: a\nspec: {model: desk, weights: x}\n"))
	s.expect(1, "unreadable_file", "check", "none.yaml")
}
