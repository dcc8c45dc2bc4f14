package event

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
)

// output collects what was written; it takes nothing while it is held.
type output struct {
	hold  sync.Mutex
	mutex sync.Mutex
	text  bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.hold.Lock()
	defer o.hold.Unlock()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(b)
}

func (o *output) lines(name string) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return strings.Count(o.text.String(), `"msg":"`+name+`"`)
}

func testLog(t *testing.T, o *output) (*Log, func()) {
	t.Helper()
	l, closer, err := Over(api.LogSettings{Level: api.LogSettingsLevelInfo, Format: api.LogSettingsFormatJson}, o)
	if err != nil {
		t.Fatal(err)
	}
	return l, closer
}

// A reader who takes nothing holds nobody up: this test would not end.
func TestStalledOutputHoldsNobodyUp(t *testing.T) {
	var o output
	l, closer := testLog(t, &o)
	o.hold.Lock()
	const lines = linesWaiting * 2
	for range lines {
		// Warnings of many events, so that no bound of a second is met first.
		for _, id := range []ID{PeerLost, PlatformLost, GenerationLost, RequestFailed} {
			l.Emit(id)
		}
	}
	closer()
	_, out := l.Left()
	b, _ := l.Left()
	if out+b < lines*4-linesWaiting-2 {
		t.Errorf("left out: got %d and %d of %d, want all but what waits", b, out, lines*4)
	}
	o.hold.Unlock()
}

func TestVolumeIsBounded(t *testing.T) {
	var o output
	l, closer := testLog(t, &o)
	for i := range 1000 {
		l.Emit(RequestDone, zap.Int("i", i))
		l.Emit(RequestLate, zap.Int("i", i))
	}
	closer()
	// The thousand may fall into two seconds.
	if got := o.lines("request_done"); got < routineLines || got > 2*routineLines {
		t.Errorf("lines of what went well: got %d, want %d", got, routineLines)
	}
	if got := o.lines("request_late"); got < otherLines || got > 2*otherLines {
		t.Errorf("lines of what did not: got %d, want %d", got, otherLines)
	}
	b, out := l.Left()
	if want := int64(2000 - o.lines("request_done") - o.lines("request_late")); b != want || out != 0 {
		t.Errorf("left out: got %d and %d, want %d and 0", b, out, want)
	}
}

func TestLastLinesAreFlushed(t *testing.T) {
	var o output
	l, closer := testLog(t, &o)
	l.Emit(StopDone)
	closer()
	if got := o.lines("stop_done"); got != 1 {
		t.Errorf("last line: got %d, want 1", got)
	}
}
