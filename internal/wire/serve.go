package wire

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
)

// Serve serves on an address until the context ends, and then waits for at most
// drainTimeout until the requests in flight have ended.
func Serve(ctx context.Context, address string, h http.Handler, drainTimeout time.Duration) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return fault.Wrap(fault.ListenFailed, err, "listening on "+address)
	}
	const headerWait = 5 * time.Second
	s := NewServer(h, headerWait)
	g, end := duty.New(context.WithoutCancel(ctx))
	defer end()
	g.Go(func(context.Context) error {
		// It returns http.ErrServerClosed when the server is shut down.
		_ = s.Serve(l)
		return nil
	})
	<-ctx.Done()
	c, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	if err := s.Shutdown(c); err != nil {
		_ = s.Close()
	}
	return nil
}
