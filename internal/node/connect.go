package node

import (
	"context"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/contents"
	"github.com/wardridge/wardridge/internal/wire"
)

// connectCheck makes the question whether a server still listens at its address.
func connectCheck(dial wire.Dial, address func(n api.ServerName) (string, bool)) contents.Connect {
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
