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

// The log line of a failed request must show by itself whether the server was slow or the
// caller's timeout was short. Operators on call distinguish the two by the time allowed.
func TestFailureLogsTheTimeAllowed(t *testing.T) {
	var out bytes.Buffer
	l, flush, err := event.NewWithOutput(api.LogSettings{Level: api.LogSettingsLevelInfo, Format: api.LogSettingsFormatJson}, &out)
	if err != nil {
		t.Fatal(err)
	}
	f := newFakeServers()
	f.log = l
	lost := fault.New(fault.OutcomeUnknown, "no answer")
	f.answers["p1"], f.answers["p2"] = []any{lost}, []any{lost}
	b := newTestGateway(t, f, 0)
	r := request("/unsafe/1")
	r.MaxWait = 400 * time.Millisecond
	b.Handle(context.Background(), r, &caller{})
	flush()
	for _, want := range []string{`"msg":"request_failed"`, `"allowed":0.4`, `"took":`, `"route":"/unsafe/"`} {
		if got := out.String(); !strings.Contains(got, want) {
			t.Errorf("log: got %s, want it to contain %s", got, want)
		}
	}
}
