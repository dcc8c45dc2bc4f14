package node

import (
	"context"
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
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
	l, err := m.Listen(ctx, address)
	if err != nil {
		return nil, nil, fault.Wrap(fault.ListenFailed, err, "listening on "+address)
	}
	s := wire.NewServer(h, wait)
	g.Go(func(context.Context) error {
		// The server ends with the planned stop, so the error of Serve is no failure.
		_ = s.Serve(l)
		return nil
	})
	return s, func() { _ = s.Close() }, nil
}
