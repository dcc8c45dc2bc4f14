package call_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/decide/call"
)

func TestConnectTime(t *testing.T) {
	for _, c := range []struct{ aim, want time.Duration }{
		{0, 0},
		{100 * time.Millisecond, 250 * time.Millisecond},
		{1800 * time.Millisecond, 450 * time.Millisecond},
		{time.Minute, time.Second},
	} {
		if got := call.ConnectTime(c.aim); got != c.want {
			t.Errorf("an aim of %v: got %v, want %v", c.aim, got, c.want)
		}
	}
}
