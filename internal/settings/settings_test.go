package settings_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/settings"
)

const validSettings = `[node]
name = entry-1
domain = hall-a
listen = 127.0.0.1:8001
control = 127.0.0.1:8002

[platform]
address = 127.0.0.1:8000
`

func TestDefaultsAreFilledIn(t *testing.T) {
	s, err := settings.Parse("a.ini", []byte(validSettings+"[engine]\nrouting = round-robin\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := s.Entry.QueueLimit, 512; got != want {
		t.Errorf("entry.queue_limit: got %d, want %d", got, want)
	}
	if s.Gateway.FirstStart {
		t.Error("gateway.first_start: got true, want false")
	}
	if got, want := s.Engine.Routing, api.EngineSettingsRoutingRoundRobin; got != want {
		t.Errorf("engine.routing: got %q, want %q", got, want)
	}
	if got, want := s.Engine.Admission, api.EngineSettingsAdmissionSurvival; got != want {
		t.Errorf("engine.admission: got %q, want %q", got, want)
	}
}

func TestBooleans(t *testing.T) {
	for _, want := range []bool{true, false} {
		s, err := settings.Parse("a.ini", fmt.Appendf(nil, "%s[gateway]\nfirst_start = %v\n", validSettings, want))
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Gateway.FirstStart; got != want {
			t.Errorf("gateway.first_start: got %v, want %v", got, want)
		}
	}
}

func TestErrorsNameLineAndAllowedValues(t *testing.T) {
	tests := []struct {
		name string
		text string
		want []string
	}{
		{"unknown section", validSettings + "[nodes]\n", []string{"a.ini:9", "unknown section", "platform"}},
		{"unknown key", validSettings + "[log]\nlevels = info\n", []string{"a.ini:10", "log.levels", "unknown key", "format, level"}},
		{"value not listed", validSettings + "[log]\nlevel = loud\n", []string{"a.ini:10", "log.level", "debug, info, warn, error"}},
		{"not a number", validSettings + "[entry]\n\nqueue_limit = many\n", []string{"a.ini:11", "entry.queue_limit", "not a whole number", "1 to 100000"}},
		{"not true or false", validSettings + "[gateway]\nfirst_start = yes\n", []string{"a.ini:10", "gateway.first_start", "neither true nor false", "true and false"}},
		{"out of range", validSettings + "[entry]\nqueue_limit = 0\n", []string{"a.ini:10", "entry.queue_limit", "1 to 100000"}},
		{"missing key", strings.Replace(validSettings, "name = entry-1\n", "", 1), []string{"a.ini:1", "node", "name"}},
		{"missing section", "[node]\n", []string{"a.ini:1"}},
		{"wrong address", strings.Replace(validSettings, "127.0.0.1:8000", "platform:8000", 1), []string{"a.ini:8", "platform.address"}},
		{"key outside a section", "x = 1\n" + validSettings, []string{"a.ini:1", "x", "section"}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			_, err := settings.Parse("a.ini", []byte(c.text))
			if !fault.Has(err, fault.InvalidSettings) {
				t.Fatalf("got %v, want an invalid_settings fault", err)
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("message: got %q, want it to contain %q", err, w)
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("[node\nx")
	f.Fuzz(func(t *testing.T, s string) {
		if _, err := settings.Parse("f.ini", []byte(s)); err != nil && err.Error() == "" {
			t.Errorf("error of an invalid file: got an empty message, want a text")
		}
	})
}
