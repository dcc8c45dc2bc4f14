package loopback

import (
	"context"
	"net"

	"github.com/wardridge/wardridge/internal/duty"
)

// Accept serves each connection to a listener in a goroutine of the group, until the
// listener is closed.
func Accept(g *duty.Group, l net.Listener, serve func(ctx context.Context, c net.Conn)) {
	g.Go(func(context.Context) error {
		for {
			c, err := l.Accept()
			if err != nil {
				// The listener is closed at shutdown, which ends the loop.
				return err
			}
			g.Go(func(ctx context.Context) error {
				serve(ctx, c)
				return nil
			})
		}
	})
}
