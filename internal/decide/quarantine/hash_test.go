package quarantine_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/quarantine"
)

func TestHash(t *testing.T) {
	same := quarantine.Hash("w", "POST", "h", "/p", []byte("body"))
	if got := quarantine.Hash("w", "POST", "h", "/p", []byte("body")); got != same {
		t.Errorf("same request hashed again: got %v, want %v", got, same)
	}
	tests := []struct {
		name string
		hash api.ContentHash
	}{
		{"different workspace", quarantine.Hash("v", "POST", "h", "/p", []byte("body"))},
		{"different method", quarantine.Hash("w", "PUT", "h", "/p", []byte("body"))},
		{"different host", quarantine.Hash("w", "POST", "i", "/p", []byte("body"))},
		{"different target", quarantine.Hash("w", "POST", "h", "/p?x", []byte("body"))},
		{"different body", quarantine.Hash("w", "POST", "h", "/p", []byte("bodx"))},
		{"same bytes split differently", quarantine.Hash("wP", "OST", "h", "/p", []byte("body"))},
	}
	for _, c := range tests {
		if c.hash == same {
			t.Errorf("%s: got the same hash, want a different one", c.name)
		}
	}
}

func BenchmarkHash(b *testing.B) {
	body := make([]byte, 8<<10)
	for range b.N {
		quarantine.Hash("w", "POST", "h", "/p", body)
	}
}
