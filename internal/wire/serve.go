package wire

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
)

// Serve serves on an address until the context ends, and then lets calls in
// flight run to their end for at most the limit.
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
		// The end of the server is part of the stop.
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
