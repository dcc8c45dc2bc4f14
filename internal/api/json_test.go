package api_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/api"
)

func TestSameJSON(t *testing.T) {
	tests := []struct {
		a, b string
		want bool
	}{
		{`{"a":1,"b":2}`, ` {"b":2, "a":1}`, true},
		{`{"a":1}`, `{"a":2}`, false},
		{`{"a":`, `{"a":`, true},
		{`{"a":`, `{}`, false},
	}
	for _, c := range tests {
		if got := api.SameJSON([]byte(c.a), []byte(c.b)); got != c.want {
			t.Errorf("%s and %s: got %v, want %v", c.a, c.b, got, c.want)
		}
	}
}
