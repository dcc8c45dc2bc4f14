package queue_test

import (
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/queue"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(w api.WorkspaceName, p api.Priority, v string) queue.Item[string] {
	return queue.Item[string]{Workspace: w, Weight: 1, Rank: p.Rank(), Cost: 1, EnqueuedAt: epoch, ExpiresAt: epoch.Add(time.Minute), Value: v}
}

func all(string) bool { return true }

func TestHigherPriorityIsServedFirst(t *testing.T) {
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

func TestLowPriorityIsNotStarved(t *testing.T) {
	q := queue.New[string](10000)
	for range 10 {
		q.Push(item("log", api.PriorityBackground, "log"))
	}
	served := 0
	for n := range 10 * queue.LowestFirstInterval {
		// An interactive request is always waiting.
		q.Push(item("desk", api.PriorityInteractive, "desk"))
		if v, _ := q.Pop(epoch, all); v == "log" {
			served++
			if n%queue.LowestFirstInterval != queue.LowestFirstInterval-1 {
				t.Errorf("pop %d: got the background request before the interactive one", n)
			}
		}
	}
	if served != 10 {
		t.Errorf("background requests served: got %d, want 10", served)
	}
}

func TestLargeRequestIsNotBypassedForever(t *testing.T) {
	q := queue.New[string](10)
	q.Push(item("w", api.PriorityStandard, "large"))
	q.Push(item("v", api.PriorityStandard, "small"))
	small := func(v string) bool { return v == "small" }
	if got, _ := q.Pop(epoch, small); got != "small" {
		t.Errorf("before the limit: got %q, want small", got)
	}
	q.Push(item("v", api.PriorityStandard, "small"))
	if got, ok := q.Pop(epoch.Add(3*time.Second), small); ok {
		t.Errorf("after a long wait: got %q, want none to bypass the large one", got)
	}
}

func TestInteractiveRequestBypassesBackgroundRequestThatDoesNotFit(t *testing.T) {
	q := queue.New[string](100)
	q.Push(item("log", api.PriorityBackground, "log"))
	small := func(v string) bool { return v == "desk" }
	now := epoch.Add(time.Minute)
	for n := range 3 * queue.LowestFirstInterval {
		q.Push(item("desk", api.PriorityInteractive, "desk"))
		if v, _ := q.Pop(now, small); v != "desk" {
			t.Fatalf("pop %d: got %q, want the interactive request", n, v)
		}
	}
}

func TestExpireRemovesOverdueRequests(t *testing.T) {
	q := queue.New[string](10)
	q.Push(item("w", api.PriorityStandard, "a"))
	if got := q.Expire(epoch.Add(time.Minute)); len(got) != 1 || q.Len() != 0 {
		t.Errorf("Expire: got %v, want one and an empty queue", got)
	}
}
