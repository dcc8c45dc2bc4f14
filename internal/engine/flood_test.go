package engine_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/engine"
	"github.com/wardridge/wardridge/internal/wire"
)

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// flood returns a client of an engine that answers with a text without end until its caller closes, and
// the number of bytes that the client has read.
func flood(t *testing.T, begin, repeat string) (*engine.Client, *atomic.Int64) {
	t.Helper()
	g, end := duty.New(context.Background())
	t.Cleanup(end)
	var read atomic.Int64
	block := []byte(strings.Repeat(repeat, 1+(4<<10)/len(repeat)))
	c, closer := wire.NewClientWithDial(func(context.Context, string, string) (net.Conn, error) {
		a, b := net.Pipe()
		g.Go(func(context.Context) error {
			defer func() { _ = b.Close() }()
			_, _ = b.Read(make([]byte, 4<<10))
			_, err := io.WriteString(b, begin)
			for err == nil {
				_, err = b.Write(block)
			}
			return nil
		})
		return countingConn{a, &read}, nil
	}, true)
	t.Cleanup(closer)
	return engine.NewWithClient(c, 20*time.Second), &read
}

// Bytes without end from an engine must end the call within little memory.
func TestEndlessAnswerOfEngineIsBounded(t *testing.T) {
	load := func(ctx context.Context, c *engine.Client) error {
		_, err := c.Load(ctx, "10.0.0.1:80")
		return err
	}
	stream := func(ctx context.Context, c *engine.Client) error {
		s, err := c.Start(ctx, "10.0.0.1:80", api.GenerateRequest{})
		if err != nil {
			return err
		}
		defer s.Close()
		return s.Each(func() error { return nil }, func(api.TokenEvent) (bool, error) { return true, nil })
	}
	const ok, refused = "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 503 Service Unavailable\r\n\r\n"
	for _, c := range []struct {
		name          string
		begin, repeat string
		call          func(ctx context.Context, c *engine.Client) error
		maxRead       int64
	}{
		{"head", "HTTP/1.1 200 OK\r\nX-A: ", "x", load, 256 << 10},
		{"head of a stream", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", stream, 256 << 10},
		{"report", ok + `{"name":"`, "x", load, 8 << 20},
		{"refused report", refused + `{"reason":"`, "x", load, 256 << 10},
		{"stream without line breaks", ok + "data: ", "x", stream, 256 << 10},
		{"stream without blank lines", ok, "data: x\n", stream, 256 << 10},
		{"refused stream", refused + `{"reason":"`, "x", stream, 256 << 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, read := flood(t, c.begin, c.repeat)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if err := c.call(ctx, e); err == nil || ctx.Err() != nil {
				t.Errorf("end: got %v, %v; want a failure before the deadline", err, ctx.Err())
			}
			if got := read.Load(); got > c.maxRead {
				t.Errorf("bytes read: got %d, want at most %d", got, c.maxRead)
			}
		})
	}
}
