package event

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"testing"
	"unicode/utf8"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// output collects what is written to it. Its writes block while blocked is locked.
type output struct {
	blocked sync.Mutex
	mutex   sync.Mutex
	text    bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.blocked.Lock()
	defer o.blocked.Unlock()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(b)
}

func (o *output) lines(name string) int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return strings.Count(o.text.String(), `"msg":"`+name+`"`)
}

func newTestLog(t *testing.T, o *output) (*Log, func()) {
	t.Helper()
	l, closer, err := NewWithOutput(api.LogSettings{Level: api.LogSettingsLevelInfo, Format: api.LogSettingsFormatJson}, o)
	if err != nil {
		t.Fatal(err)
	}
	return l, closer
}

// An output that accepts nothing must not block Emit, or this test would not end.
func TestStalledOutputDoesNotBlockEmit(t *testing.T) {
	var o output
	l, closer := newTestLog(t, &o)
	o.blocked.Lock()
	const lines = maxQueuedLines * 2
	for range lines {
		// Several events, so that the queue fills before the limit per second applies.
		for _, id := range []ID{PeerLost, PlatformLost, GenerationLost, RequestFailed} {
			l.Emit(id)
		}
	}
	closer()
	_, out := l.DroppedLines()
	b, _ := l.DroppedLines()
	if out+b < lines*4-maxQueuedLines-2 {
		t.Errorf("dropped lines: got %d and %d of %d, want all but those in the queue", b, out, lines*4)
	}
	o.blocked.Unlock()
}

func TestLinesPerSecondAreLimited(t *testing.T) {
	var o output
	l, closer := newTestLog(t, &o)
	for i := range 1000 {
		l.Emit(RequestDone, zap.Int("i", i))
		l.Emit(RequestLate, zap.Int("i", i))
		l.Emit(EngineRole, zap.Int("i", i))
	}
	closer()
	// The 1000 lines may fall into two seconds, each with its own limit.
	if got := o.lines("request_done"); got < maxRoutineLines || got > 2*maxRoutineLines {
		t.Errorf("lines of a routine event: got %d, want %d to twice as many", got, maxRoutineLines)
	}
	if got := o.lines("engine_role"); got < maxRoutineLines || got > 2*maxRoutineLines {
		t.Errorf("lines on changed roles: got %d, want %d to twice as many", got, maxRoutineLines)
	}
	if got := o.lines("request_late"); got < maxOtherLines || got > 2*maxOtherLines {
		t.Errorf("lines of another event: got %d, want %d to twice as many", got, maxOtherLines)
	}
	b, out := l.DroppedLines()
	if want := int64(3000 - o.lines("request_done") - o.lines("request_late") - o.lines("engine_role")); b != want || out != 0 {
		t.Errorf("dropped lines: got %d and %d, want %d and 0", b, out, want)
	}
}

// Guards against requests that ran twice of which no line of the log names one.
func TestLinesOfRequestsBeyondTheLimitAreCondensed(t *testing.T) {
	const requests = 10 * maxOtherLines
	var o output
	l, closer := newTestLog(t, &o)
	want := map[string]bool{}
	for i := range requests {
		id := api.RequestID("r" + strconv.Itoa(i))
		l.EmitRequest(AttemptFailed, "s@1", id, zap.String("request", string(id)))
		want["308 s@1 "+string(id)] = true
	}
	closer()
	b, _ := l.DroppedLines()
	if want := int64(requests - o.lines("attempt_failed")); b != want || b == 0 {
		t.Errorf("lines over the limit: got %d, want %d", b, want)
	}
	if got, limit := o.lines("lines_condensed"), int(b)/maxCondensed+2; got > limit {
		t.Errorf("condensed lines: got %d, want at most %d", got, limit)
	}
	for x := range strings.Lines(o.text.String()) {
		var line struct {
			Request string
			Lines   []string
		}
		if err := json.Unmarshal([]byte(x), &line); err != nil {
			t.Fatal(err)
		}
		delete(want, "308 s@1 "+line.Request)
		for _, e := range line.Lines {
			delete(want, e)
		}
	}
	if len(want) > 0 {
		t.Errorf("requests that no line names: got %d, want none", len(want))
	}
}

func TestLinesBelowTheLevelAreNotCondensed(t *testing.T) {
	var o output
	l, closer, err := NewWithOutput(api.LogSettings{Level: api.LogSettingsLevelWarn, Format: api.LogSettingsFormatJson}, &o)
	if err != nil {
		t.Fatal(err)
	}
	l.EmitRequest(AttemptFailed, "s", "r")
	closer()
	if got := o.text.String(); got != "" {
		t.Errorf("got %q, want no line", got)
	}
}

func TestCloseFlushesLastLines(t *testing.T) {
	var o output
	l, closer := newTestLog(t, &o)
	l.Emit(StopDone)
	closer()
	if got := o.lines("stop_done"); got != 1 {
		t.Errorf("lines of the last event: got %d, want 1", got)
	}
}

// Guards against lines as long as a name or a figure that another writer chose, many times a second.
func TestLongFieldsAreCut(t *testing.T) {
	var o output
	l, closer := newTestLog(t, &o)
	const long = 1 << 20
	l.With(zap.String("kept", "k")).Emit(ObjectUnreadable,
		zap.String("name", strings.Repeat("n", long)), zap.Error(fault.New(fault.InvalidResource, strings.Repeat("\u00e9", long))), zap.String("short", "s"))
	closer()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if got := o.text.Len(); got > 3*maxFieldBytes {
		t.Errorf("line: got %d bytes, want at most %d", got, 3*maxFieldBytes)
	}
	var line struct{ Name, Error, Short, Kept string }
	if err := json.Unmarshal(o.text.Bytes(), &line); err != nil || line.Short != "s" || line.Kept != "k" || !strings.HasPrefix(line.Name, "nnn") || !strings.Contains(line.Error, "invalid_resource (5001): \u00e9") || !utf8.ValidString(line.Error) {
		t.Errorf("got %.100q, %.100q, %q, %q and %v, want the beginning of long fields", line.Name, line.Error, line.Short, line.Kept, err)
	}
}
