package node

import (
	"context"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/contents"
	"github.com/wardridge/wardridge/internal/wire"
)

// connectCheck returns a function that checks whether a server still accepts connections
// at its address. A server without a known address passes the check.
func connectCheck(dial wire.DialFunc, address func(n api.ServerName) (string, bool)) contents.ConnectFunc {
	return func(ctx context.Context, n api.ServerName) error {
		a, ok := address(n)
		if !ok {
			return nil
		}
		c, err := dial(ctx, "tcp", a)
		if err != nil {
			return err
		}
		return c.Close()
	}
}
