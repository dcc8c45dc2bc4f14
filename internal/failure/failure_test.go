package failure_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/failure"
	"github.com/wardridge/wardridge/internal/fault"
)

func TestClassify(t *testing.T) {
	tests := []struct {
		name  string
		fault *fault.Error
		want  event.ID
	}{
		{"refused", fault.New(fault.NoServer, ""), event.RequestRefused},
		{"refused after it may have run", fault.New(fault.NoServer, "").WithRan(api.RanUnknown), event.RequestFailed},
		{"caller left", fault.New(fault.CallerGone, ""), event.CallerLeft},
	}
	for _, c := range tests {
		if got, _ := failure.Classify(c.fault); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
