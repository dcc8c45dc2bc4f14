package quarantine_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
)

func TestHash(t *testing.T) {
	same := quarantine.Hash("w", "POST", "h", "/p", []byte("body"))
	if got := quarantine.Hash("w", "POST", "h", "/p", []byte("body")); got != same {
		t.Errorf("the same request again: got %v, want %v", got, same)
	}
	tests := []struct {
		name string
		hash api.ContentHash
	}{
		{"another workspace", quarantine.Hash("v", "POST", "h", "/p", []byte("body"))},
		{"another method", quarantine.Hash("w", "PUT", "h", "/p", []byte("body"))},
		{"another host", quarantine.Hash("w", "POST", "i", "/p", []byte("body"))},
		{"another target", quarantine.Hash("w", "POST", "h", "/p?x", []byte("body"))},
		{"another body", quarantine.Hash("w", "POST", "h", "/p", []byte("bodx"))},
		{"parts divided otherwise", quarantine.Hash("wP", "OST", "h", "/p", []byte("body"))},
	}
	for _, c := range tests {
		if c.hash == same {
			t.Errorf("%s: got the same hash, want another one", c.name)
		}
	}
}

func BenchmarkHash(b *testing.B) {
	body := make([]byte, 8<<10)
	for range b.N {
		quarantine.Hash("w", "POST", "h", "/p", body)
	}
}
