package httpstatus_test

import (
	"testing"

	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/httpstatus"
)

func TestStatuses(t *testing.T) {
	for _, c := range []struct {
		status         int
		final, success bool
	}{
		{0, false, false}, {20, false, false}, {99, false, false}, {101, false, false}, {199, false, false},
		{200, true, true}, {204, true, true}, {299, true, true}, {304, true, false}, {404, true, false}, {599, true, false},
		{600, false, false}, {999, false, false}, {-200, false, false},
	} {
		if got := httpstatus.IsFinal(c.status); got != c.final {
			t.Errorf("status %d: got final %v, want %v", c.status, got, c.final)
		}
		if got := httpstatus.IsSuccess(c.status); got != c.success {
			t.Errorf("status %d: got success %v, want %v", c.status, got, c.success)
		}
		if err := httpstatus.Check(c.status); fault.Has(err, fault.BadAnswer) == c.final {
			t.Errorf("status %d: got %v, want a bad answer %v", c.status, err, !c.final)
		}
	}
}
