package engine_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/answer"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/engine"
	"github.com/wardridge/wardridge/internal/wire"
)

// oddStatuses are statuses by which no call has succeeded.
var oddStatuses = []string{"000", "099", "+20", "600", "302 Found\r\nLocation: http://engine", "304"}

// newOddClient returns an HTTP client of a server whose answers have a status and a body.
func newOddClient(t *testing.T, status, body string) *http.Client {
	t.Helper()
	g, end := duty.New(context.Background())
	t.Cleanup(end)
	c, closer := wire.NewClientWithDial(func(context.Context, string, string) (net.Conn, error) {
		a, b := net.Pipe()
		g.Go(func(context.Context) error {
			defer func() { _ = b.Close() }()
			_, _ = b.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(b, "HTTP/1.1 "+status+"\r\nConnection: close\r\n\r\n"+body)
			return nil
		})
		return a, nil
	}, false)
	t.Cleanup(closer)
	return c
}

// Guards against an order that counts as carried out, or a report as read, by an answer that is no success.
func TestOnlySuccessMeansThatCallSucceeded(t *testing.T) {
	for _, status := range oddStatuses {
		t.Run(status, func(t *testing.T) {
			e := engine.NewWithClient(newOddClient(t, status, "{}"), time.Second)
			if err := e.Order(t.Context(), "e:1", api.Order{}); err == nil {
				t.Error("order: got no failure, want one")
			}
			if err := e.Cancel(t.Context(), "e:1", "g"); err == nil {
				t.Error("cancellation: got no failure, want one")
			}
			if _, err := e.Load(t.Context(), "e:1"); err == nil {
				t.Error("load: got no failure, want one")
			}
			if err := wire.Call(t.Context(), newOddClient(t, status, "{}"), http.MethodPost, "http://e:1/", nil, nil); err == nil {
				t.Error("call of a peer: got no failure, want one")
			}
		})
	}
}

// Guards against a request that is started at a second engine, since an answer that is no refusal looked like one.
func TestOnlyErrorStatusIsRefusal(t *testing.T) {
	for _, status := range oddStatuses {
		t.Run(status, func(t *testing.T) {
			e := engine.NewWithClient(newOddClient(t, status, `{"reason":"full"}`), time.Second)
			_, err := e.Start(t.Context(), "e:1", api.GenerateRequest{})
			var b *engine.StreamError
			if !errors.As(err, &b) || b.Cause != answer.Broken {
				t.Errorf("start: got %v, want a broken stream", err)
			}
		})
	}
}
