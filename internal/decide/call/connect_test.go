package call_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/call"
)

func TestConnectTimeout(t *testing.T) {
	for _, c := range []struct{ target, want time.Duration }{
		{0, 0},
		{100 * time.Millisecond, 250 * time.Millisecond},
		{1800 * time.Millisecond, 450 * time.Millisecond},
		{time.Minute, time.Second},
	} {
		if got := call.ConnectTimeout(c.target); got != c.want {
			t.Errorf("latency target %v: got %v, want %v", c.target, got, c.want)
		}
	}
}
