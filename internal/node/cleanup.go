package node

import (
	"context"
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/wire"
)

// cleanups are what is to be done at the end, last first.
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

// listen serves an address of a machine by a duty of the group; the clean-up
// closes the server.
func listen(ctx context.Context, m Machine, g *duty.Group, address string, h http.Handler, wait time.Duration) (*http.Server, func(), error) {
	l, err := m.Listen(ctx, address)
	if err != nil {
		return nil, nil, fault.Wrap(fault.ListenFailed, err, "listening on "+address)
	}
	s := wire.NewServer(h, wait)
	g.Go(func(context.Context) error {
		// The end of the server is part of the stop.
		_ = s.Serve(l)
		return nil
	})
	return s, func() { _ = s.Close() }, nil
}
