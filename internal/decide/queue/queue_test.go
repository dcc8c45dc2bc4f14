package queue_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/queue"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(w api.WorkspaceName, p api.Priority, v string) queue.Item[string] {
	return queue.Item[string]{Workspace: w, Weight: 1, Priority: p, Cost: 1, Since: epoch, Until: epoch.Add(time.Minute), Value: v}
}

func all(string) bool { return true }

func TestPriorityGoesFirst(t *testing.T) {
	q := queue.New[string](10)
	q.Push(item("log", api.PriorityBackground, "reading"))
	q.Push(item("desk", api.PriorityInteractive, "booking"))
	for _, want := range []string{"booking", "reading"} {
		if got, _ := q.Pop(epoch, all); got != want {
			t.Errorf("Pop: got %q, want %q", got, want)
		}
	}
}

func TestSharesFollowWeights(t *testing.T) {
	q := queue.New[string](1000)
	for range 100 {
		i := item("big", api.PriorityStandard, "big")
		i.Weight = 3
		q.Push(i)
		q.Push(item("small", api.PriorityStandard, "small"))
	}
	got := map[string]int{}
	for range 80 {
		v, _ := q.Pop(epoch, all)
		got[v]++
	}
	if got["big"] < 58 || got["big"] > 62 {
		t.Errorf("served of 80 at weight 3 to 1: got %v, want about 60 big", got)
	}
}

func TestFullQueueRefusesLowerPriority(t *testing.T) {
	q := queue.New[string](2)
	q.Push(item("w", api.PriorityBackground, "a"))
	q.Push(item("w", api.PriorityInteractive, "b"))
	out, refused := q.Push(item("w", api.PriorityInteractive, "c"))
	if !refused || out.Value != "a" {
		t.Errorf("got %q, %v, want a refused", out.Value, refused)
	}
	out, refused = q.Push(item("w", api.PriorityInteractive, "d"))
	if !refused || out.Value != "d" {
		t.Errorf("got %q, %v, want d refused", out.Value, refused)
	}
}

func TestLongWaiterIsNotStarved(t *testing.T) {
	q := queue.New[string](10)
	q.Push(item("log", api.PriorityBackground, "old"))
	now := epoch.Add(2 * queue.Promote)
	q.Pop(now, func(string) bool { return false })
	i := item("desk", api.PriorityInteractive, "new")
	i.Since = now
	q.Push(i)
	// Two promotions bring the old request level; it was there first.
	if got, _ := q.Pop(now, all); got != "old" {
		t.Errorf("Pop: got %q, want old", got)
	}
}

func TestLargeRequestIsNotPassedForever(t *testing.T) {
	q := queue.New[string](10)
	q.Push(item("w", api.PriorityStandard, "large"))
	q.Push(item("v", api.PriorityStandard, "small"))
	small := func(v string) bool { return v == "small" }
	if got, _ := q.Pop(epoch, small); got != "small" {
		t.Errorf("at once: got %q, want small", got)
	}
	q.Push(item("v", api.PriorityStandard, "small"))
	if got, ok := q.Pop(epoch.Add(3*time.Second), small); ok {
		t.Errorf("after long wait: got %q, want none to pass", got)
	}
}

func TestExpireAnswersAtOnce(t *testing.T) {
	q := queue.New[string](10)
	q.Push(item("w", api.PriorityStandard, "a"))
	if got := q.Expire(epoch.Add(time.Minute)); len(got) != 1 || q.Len() != 0 {
		t.Errorf("Expire: got %v, want one and an empty queue", got)
	}
}
