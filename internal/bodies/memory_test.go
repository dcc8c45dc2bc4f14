package bodies

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/decide/memory"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/metric"
)

// Answers wait for memory that callers hold who read slowly, and get it when one of them is done
// or cancelled. Requests are refused at once meanwhile, and answers that never fit as well.
func TestBodiesShareTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vm = 64 << 20
		b := New(vm, metric.New())
		answer := func() *hold { return &hold{memory: b, kind: memory.Answer} }
		var slow []*hold
		for range 4 {
			h := answer()
			if err := h.Grow(t.Context(), vm/16); err != nil {
				t.Fatal(err)
			}
			slow = append(slow, h)
		}
		q := &hold{memory: b, kind: memory.Request}
		if err := q.Grow(t.Context(), 1000); !fault.Has(err, fault.MemoryShort) {
			t.Errorf("request: got %v, want it refused for lack of memory", err)
		}
		c, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if err := answer().Grow(c, 1000); err == nil {
			t.Error("answer: got memory, want it to wait until its deadline")
		}
		time.AfterFunc(time.Second, slow[0].Release)
		began := time.Now()
		if err := answer().Grow(t.Context(), 1000); err != nil || time.Since(began) != time.Second {
			t.Errorf("answer: got %v after %v, want memory once a caller is done", err, time.Since(began))
		}
		if err := answer().Grow(t.Context(), vm/8); !fault.Has(err, fault.BadAnswer) {
			t.Errorf("answer beyond the memory of one body: got %v, want a failure at once", err)
		}
		if err := q.Grow(t.Context(), 1000); err != nil {
			t.Errorf("request after a release: got %v, want memory", err)
		}
	})
}
