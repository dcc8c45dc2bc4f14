package bodies

import (
	"context"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/decide/memory"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/port"
)

// memoryRetryAfter is the Retry-After of a request for whose body there is no memory: about the
// time in which a caller reads an answer.
const memoryRetryAfter = time.Second

// Memory bounds the memory of the bodies that this entry VM holds.
type Memory struct {
	metrics *metric.Set

	mutex  sync.Mutex
	budget *memory.Budget
	// freed is closed when memory is released.
	freed chan struct{}
}

// New returns the body memory of a VM with a memory in bytes; zero for no bound.
func New(vmBytes int64, m *metric.Set) *Memory {
	return &Memory{metrics: m, budget: memory.New(vmBytes), freed: make(chan struct{})}
}

// reserve reserves memory; if it is exhausted, it also returns a channel that is closed when some
// is released.
func (b *Memory) reserve(k memory.Kind, held, n int64) (memory.Verdict, <-chan struct{}) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	v := b.budget.Reserve(k, held, n)
	b.metrics.Set(metric.BodyBytes, b.budget.Used())
	return v, b.freed
}

func (b *Memory) release(k memory.Kind, n int64) {
	if n == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.budget.Release(k, n)
	b.metrics.Set(metric.BodyBytes, b.budget.Used())
	close(b.freed)
	b.freed = make(chan struct{})
}

// hold implements port.Hold. One goroutine at a time uses it.
type hold struct {
	memory *Memory
	kind   memory.Kind
	bytes  int64
}

// HoldRequest returns the memory of the body of a request.
func (b *Memory) HoldRequest() port.Hold {
	return &hold{memory: b, kind: memory.Request}
}

// HoldAnswer returns the memory of the body of an answer.
func (b *Memory) HoldAnswer() port.Hold {
	return &hold{memory: b, kind: memory.Answer}
}

// Grow implements port.Hold.
func (h *hold) Grow(ctx context.Context, n int64) error {
	for {
		v, freed := h.memory.reserve(h.kind, h.bytes, n)
		switch {
		case v == memory.Granted:
			h.bytes += n
			return nil
		case h.kind == memory.Request:
			h.memory.metrics.Add(metric.RefusedForMemory, 1)
			return fault.New(fault.MemoryShort, "no memory for the body of the request").WithRetryAfter(memoryRetryAfter)
		case v == memory.TooLarge:
			return fault.New(fault.BadAnswer, "answer exceeds the memory of one body")
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "no memory for the body of the answer in time")
		}
	}
}

// Release implements port.Hold.
func (h *hold) Release() {
	h.memory.release(h.kind, h.bytes)
	h.bytes = 0
}
