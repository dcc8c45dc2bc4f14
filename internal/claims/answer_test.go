package claims

import (
	"encoding/base64"
	"net/http"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Guards against a recorded answer without a valid status that is sent to the caller as a success.
func TestRecordedAnswerNeedsValidStatus(t *testing.T) {
	for _, c := range []struct {
		status int
		valid  bool
	}{{0, false}, {20, false}, {99, false}, {100, false}, {101, false}, {600, false}, {http.StatusOK, true}, {http.StatusConflict, true}} {
		a, err := storedAnswer(api.ClaimSpec{Status: c.status, Answer: base64.StdEncoding.EncodeToString([]byte("x"))})
		switch {
		case c.valid && (err != nil || a.Status != c.status):
			t.Errorf("status %d: got %v and %v, want the answer", c.status, a, err)
		case !c.valid && (!fault.Has(err, fault.ClaimHeld) || fault.From(err).Ran != api.RanYes):
			t.Errorf("status %d: got %v and %v, want a fault of a call that ran", c.status, a, err)
		}
	}
}
