package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/link"
	"github.com/wardridge/wardridge/internal/wire"
)

// cleanups lists functions that run at the end of the process, last added first.
type cleanups []func()

func (l *cleanups) add(f func()) {
	*l = append(*l, f)
}

func (l *cleanups) run() {
	for i := len(*l) - 1; i >= 0; i-- {
		(*l)[i]()
	}
	*l = nil
}

// listen starts an HTTP server on an address in a goroutine of the group. The returned
// function closes the server.
func listen(ctx context.Context, m Machine, g *duty.Group, address string, h http.Handler, wait time.Duration) (*http.Server, func(), error) {
	s := newServer(h, wait, nil)
	closer, err := serve(ctx, m.Listen, g, address, s)
	return s, closer, err
}

// newServer creates an HTTP server that reports the states of its connections to track, if that is not nil.
func newServer(h http.Handler, wait time.Duration, track func(c net.Conn, s http.ConnState)) *http.Server {
	s := wire.NewServer(h, wait)
	s.ConnState = track
	return s
}

// serve starts an HTTP server on an address in a goroutine of the group. The returned function closes it.
func serve(ctx context.Context, f link.ListenFunc, g *duty.Group, address string, s *http.Server) (func(), error) {
	l, err := f(ctx, address)
	if err != nil {
		return nil, fault.Wrap(fault.ListenFailed, err, "listening on "+address)
	}
	g.Go(func(context.Context) error {
		// The server ends with the planned stop, so the error of Serve is no failure.
		_ = s.Serve(l)
		return nil
	})
	return func() { _ = s.Close() }, nil
}
