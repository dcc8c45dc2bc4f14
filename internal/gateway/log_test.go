package gateway_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
)

// Whether a server was slow or a caller's time short can be told from the line
// of the failure alone; on call it could not.
func TestFailureTellsTheTimeThatWasAllowed(t *testing.T) {
	var out bytes.Buffer
	l, flush, err := event.NewWithOutput(api.LogSettings{Level: api.LogSettingsLevelInfo, Format: api.LogSettingsFormatJson}, &out)
	if err != nil {
		t.Fatal(err)
	}
	f := newFake()
	f.log = l
	lost := fault.New(fault.OutcomeUnknown, "no answer")
	f.answers["p1"], f.answers["p2"] = []any{lost}, []any{lost}
	b := newBed(t, f, 0)
	r := request("/unsafe/1")
	r.Wait = 400 * time.Millisecond
	b.Handle(context.Background(), r, &caller{})
	flush()
	for _, want := range []string{`"msg":"request_failed"`, `"allowed":0.4`, `"took":`, `"route":"/unsafe/"`} {
		if got := out.String(); !strings.Contains(got, want) {
			t.Errorf("got %s, want in it %s", got, want)
		}
	}
}
