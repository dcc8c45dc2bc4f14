package loganalysis

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/fault"
)

// Line is one event in a log.
type Line struct {
	At time.Time
	// Source is the file of the log, and the VM's name if a log collector has put it
	// before the line.
	Source string
	Event  event.ID
	Name   string
	Fields map[string]any
}

const (
	maxLineBytes = 1 << 20
	// stateBefore and stateAfter bound the time before and after a request's lines from
	// which state changes of its entry VM are shown, such as the notice of a server that
	// leaves, and an outage that is detected late.
	stateBefore = 4 * time.Second
	stateAfter  = time.Second
)

// stateEvents are the events that change what an entry VM knows of the system.
var stateEvents = map[event.ID]bool{
	event.ConfigApplied: true, event.PlatformLost: true, event.PlatformBack: true, event.WatchRestarted: true,
	event.PeerLost: true, event.PeerJoined: true, event.ServerState: true, event.ClockJump: true,
	event.StopBegun: true, event.Started: true, event.LinesLeftOut: true,
}

// Read returns the events of a log. It skips text that is not an event.
func Read(name string, r io.Reader) ([]Line, error) {
	var l []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if x, ok := parseLine(name, s.Text()); ok {
			l = append(l, x)
		}
	}
	if err := s.Err(); err != nil {
		return nil, fault.Wrap(fault.UnreadableFile, err, "reading "+name)
	}
	return l, nil
}

// parseLine parses one line. A log collector may have put the VM's name before it.
func parseLine(name, text string) (Line, bool) {
	i := strings.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	var f map[string]any
	if json.Unmarshal([]byte(text[i:]), &f) != nil {
		return Line{}, false
	}
	id, ok := f["event"].(float64)
	if !ok {
		return Line{}, false
	}
	ts, _ := f["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, ts)
	if err != nil {
		return Line{}, false
	}
	n, _ := f["msg"].(string)
	for _, k := range []string{"event", "ts", "msg", "level"} {
		delete(f, k)
	}
	source := name
	if w := strings.Fields(text[:i]); len(w) > 0 {
		source += " " + w[len(w)-1]
	}
	return Line{At: at, Source: source, Event: event.ID(id), Name: n, Fields: f}, true
}

// Timeline returns the lines of a request in order of time, together with the state
// changes around them on its entry VM: of the platform, of peers, and of the servers that
// the request used.
func Timeline(all []Line, request string) []Line {
	var own []Line
	servers := map[any]bool{}
	for _, l := range all {
		for _, x := range l.of(request) {
			own = append(own, x)
			for _, k := range []string{"server", "from", "to"} {
				if s := x.Fields[k]; s != nil {
					servers[s] = true
				}
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	sortLines(own)
	from, to := own[0].At.Add(-stateBefore), own[len(own)-1].At.Add(stateAfter)
	timeline := own
	for _, l := range all {
		if l.Source != own[0].Source || !stateEvents[l.Event] || l.At.Before(from) || l.At.After(to) {
			continue
		}
		if l.Event == event.ServerState && !servers[l.Fields["server"]] {
			continue
		}
		timeline = append(timeline, l)
	}
	sortLines(timeline)
	return timeline
}

// of returns the line if it names a request, or the lines of the request that it condenses. Their time is that
// of the condensed line.
func (l Line) of(request string) []Line {
	if l.Event != event.LinesCondensed {
		if l.Fields["request"] == request {
			return []Line{l}
		}
		return nil
	}
	var own []Line
	all, _ := l.Fields["lines"].([]any)
	for _, x := range all {
		t, _ := x.(string)
		f := strings.SplitN(t, " ", condensedParts)
		if len(f) < condensedParts || f[condensedParts-1] != request {
			continue
		}
		n, err := strconv.Atoi(f[0])
		if err != nil {
			continue
		}
		o := Line{At: l.At, Source: l.Source, Event: event.ID(n), Name: event.ID(n).Name(), Fields: map[string]any{"request": request, "condensed": true}}
		if f[1] != "" {
			o.Fields["server"] = f[1]
		}
		own = append(own, o)
	}
	return own
}

// condensedParts are the parts of a condensed line: event, server and request.
const condensedParts = 3

func sortLines(l []Line) {
	slices.SortStableFunc(l, func(a, b Line) int { return a.At.Compare(b.At) })
}

// String formats a line for people.
func (l Line) String() string {
	keys := make([]string, 0, len(l.Fields))
	for k := range l.Fields {
		if k != "request" {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.At.UTC().Format("15:04:05.000"), l.Source, l.Name)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%v", k, l.Fields[k])
	}
	return b.String()
}
