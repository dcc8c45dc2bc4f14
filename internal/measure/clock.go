package measure

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(v any) { *e = append(*e, v.(event)) }

func (e *events) Pop() any {
	l := *e
	v := l[len(l)-1]
	*e = l[:len(l)-1]
	return v
}

// clock is a virtual clock that runs events in order of time, then of scheduling.
type clock struct {
	now    time.Time
	events events
	seq    int
}

func (c *clock) at(t time.Time, do func()) {
	c.seq++
	heap.Push(&c.events, event{at: t, seq: c.seq, do: do})
}

func (c *clock) after(d time.Duration, do func()) {
	c.at(c.now.Add(d), do)
}

// run runs the events up to a time.
func (c *clock) run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
}
