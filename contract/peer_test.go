package contract

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/member"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/peer"
	"github.com/wardridge/wardridge/internal/wire"
)

func TestPeerContract(t *testing.T) {
	b := newCluster(t)
	v := b.startEntry("entry-1", "")
	c, closer := peer.New(time.Second)
	defer closer()
	ctx := context.Background()
	call := func(path string, body any) error {
		return wire.Call(ctx, http.DefaultClient, http.MethodPost, "http://"+v.control+path, body, nil)
	}
	tests := []struct {
		name string
		call func() error
		want fault.Code
	}{
		{"heartbeat", func() error {
			_, err := c.Heartbeat(ctx, v.control, api.Heartbeat{Protocol: member.Protocol, VM: "x"})
			return err
		}, 0},
		{"heartbeat of another protocol", func() error {
			_, err := c.Heartbeat(ctx, v.control, api.Heartbeat{Protocol: member.Protocol + 1})
			return err
		}, fault.PeerProtocol},
		{"release request of another protocol", func() error {
			_, err := c.Release(ctx, v.control, api.AttemptQuery{Protocol: member.Protocol + 1})
			return err
		}, fault.PeerProtocol},
		{"malformed message", func() error { return call(peer.PathHeartbeat, "x") }, fault.MalformedJSON},
		{"oversized message", func() error { return call(peer.PathHeartbeat, strings.Repeat("x", 1<<17)) }, fault.BodyTooLarge},
		{"unknown request", func() error {
			_, err := c.Explain(ctx, v.control, "none", false)
			return err
		}, fault.UnknownRequest},
		{"unreachable peer", func() error {
			_, err := c.Status(ctx, unusedAddress(t))
			return err
		}, fault.NotStarted},
		{"configuration", func() error {
			l, err := c.Config(ctx, v.control)
			if err == nil && len(l.Items) == 0 {
				t.Errorf("configuration: got no object, want at least one")
			}
			return err
		}, 0},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			err := x.call()
			if x.want == 0 && err != nil || x.want != 0 && !fault.Has(err, x.want) {
				t.Errorf("got %v, want code %d", err, x.want)
			}
		})
	}
	// An entry VM never releases an attempt of another incarnation.
	ok, err := c.Release(ctx, v.control, api.AttemptQuery{Protocol: member.Protocol, Request: "r", Incarnation: 1})
	if err != nil || ok {
		t.Errorf("release for another incarnation: got %v, %v, want false", ok, err)
	}
}
