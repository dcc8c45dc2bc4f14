package event

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/ring"
)

const (
	// maxQueuedLines bounds the lines that wait to be written: a second of a VM
	// that logs all it may.
	maxQueuedLines = 4096
	// flushTimeout bounds the wait for the last lines at the end.
	flushTimeout = 500 * time.Millisecond
)

// writer hands lines to a duty that writes them, so that a reader who does not
// read holds nobody up; lines beyond the bound are dropped and counted.
type writer struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	idle    atomic.Bool
}

// newWriter makes a writer before an output; the clean-up waits a while for
// what is left.
func newWriter(out io.Writer) (*writer, func()) {
	w := &writer{lines: ring.New[[]byte](maxQueuedLines)}
	g, end := duty.New(context.Background())
	g.Go(func(ctx context.Context) error { return w.run(ctx, out) })
	return w, func() {
		w.drain()
		// An output that takes nothing is left behind with the process.
		done := make(chan struct{})
		h, _ := duty.New(context.Background())
		h.Go(func(context.Context) error {
			defer close(done)
			end()
			return nil
		})
		select {
		case <-done:
		case <-time.After(flushTimeout):
		}
	}
}

func (w *writer) run(ctx context.Context, out io.Writer) error {
	for {
		w.idle.Store(true)
		b, ok := w.lines.Take(ctx)
		if !ok {
			return nil
		}
		w.idle.Store(false)
		// There is nowhere to tell of a log that can't be written.
		_, _ = out.Write(b)
	}
}

// drain waits until every line was handed to the output, or for too long.
func (w *writer) drain() {
	const pause = time.Millisecond
	for end := time.Now().Add(flushTimeout); time.Now().Before(end); time.Sleep(pause) {
		if w.lines.Len() == 0 && w.idle.Load() {
			return
		}
	}
}

// Write queues a line.
func (w *writer) Write(b []byte) (int, error) {
	// The encoder uses its buffer again.
	if !w.lines.Offer(append([]byte(nil), b...)) {
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing: the clean-up waits for what is left.
func (w *writer) Sync() error {
	return nil
}
