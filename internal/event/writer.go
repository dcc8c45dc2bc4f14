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
	// maxQueuedLines limits the lines that wait to be written: those of one second of a VM
	// that logs at its full rate.
	maxQueuedLines = 4096
	// flushTimeout bounds the wait for the last lines at the end of the process.
	flushTimeout = 500 * time.Millisecond
)

// writer queues lines for a goroutine that writes them, so that a stalled output blocks
// no caller. If the queue is full, lines are dropped and counted.
type writer struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Int64
	idle    atomic.Bool
}

// newWriter creates a writer for out. The returned function waits, within flushTimeout,
// until the queued lines are written.
func newWriter(out io.Writer) (*writer, func()) {
	w := &writer{lines: ring.New[[]byte](maxQueuedLines)}
	g, end := duty.New(context.Background())
	g.Go(func(ctx context.Context) error { return w.run(ctx, out) })
	return w, func() {
		w.drain()
		// A write to a stalled output may never return, so its goroutine is abandoned.
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
		// There is no place to report that the log can't be written.
		_, _ = out.Write(b)
	}
}

// drain waits until all lines have been written to the output, or flushTimeout is over.
func (w *writer) drain() {
	const pause = time.Millisecond
	for end := time.Now().Add(flushTimeout); time.Now().Before(end); time.Sleep(pause) {
		if w.lines.Len() == 0 && w.idle.Load() {
			return
		}
	}
}

// Write queues a line. It drops the line if the queue is full.
func (w *writer) Write(b []byte) (int, error) {
	// The encoder reuses its buffer, so the line is copied.
	if !w.lines.Offer(append([]byte(nil), b...)) {
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Sync does nothing: the function that newWriter returns flushes the lines.
func (w *writer) Sync() error {
	return nil
}
