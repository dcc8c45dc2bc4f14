package event

import (
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// maxCondensed is how many lines one line condenses at most.
	maxCondensed = 64
	// maxCondensedID bounds the ID of a request in a condensed line: callers choose it.
	maxCondensedID = 64
	// maxCondenseTime is how long lines are collected while more of them follow.
	maxCondenseTime = time.Second
)

// condenser collects the lines of requests that are over the limit per second.
type condenser struct {
	mutex   sync.Mutex
	entries []string
	// since is when the first of the entries was added.
	since time.Time
}

// add adds a line, and returns all that were collected once they are enough or old enough for a line of their own.
func (c *condenser) add(now time.Time, id ID, s api.ServerName, request api.RequestID) []string {
	e := strconv.Itoa(int(id)) + " " + string(s) + " " + string(request[:min(len(request), maxCondensedID)])
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.entries) == 0 {
		c.since = now
	}
	c.entries = append(c.entries, e)
	if len(c.entries) < maxCondensed && now.Sub(c.since) < maxCondenseTime {
		return nil
	}
	return c.take()
}

// take removes and returns what was collected; the caller holds the mutex.
func (c *condenser) take() []string {
	l := c.entries
	c.entries = nil
	return l
}

// EmitRequest writes an event that names a request, and the server that it concerns if there is one. Over the
// limit per second the event, the server and the request are written together with those of other requests.
func (l *Log) EmitRequest(id ID, s api.ServerName, request api.RequestID, f ...zap.Field) {
	if l.emit(id, f) || !l.unlimited.Core().Enabled(definitions[id].Level) {
		return
	}
	l.writeCondensed(l.condensed.add(time.Now(), id, s, request))
}

// FlushCondensed writes the condensed lines that were not written yet.
func (l *Log) FlushCondensed() {
	l.condensed.mutex.Lock()
	e := l.condensed.take()
	l.condensed.mutex.Unlock()
	l.writeCondensed(e)
}

func (l *Log) writeCondensed(e []string) {
	if len(e) == 0 {
		return
	}
	k := definitions[LinesCondensed]
	if c := l.unlimited.Check(k.Level, k.Name); c != nil {
		c.Write(zap.Int("event", int(k.ID)), zap.Strings("lines", e))
	}
}
