package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/upstream"
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

// Bytes without end in the head of an answer must not be read into memory.
func TestEndlessHeadIsBounded(t *testing.T) {
	const maxRead = 128 << 10
	for _, c := range []struct{ name, begin, repeat string }{
		{"one line", "", "x"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"one header", "HTTP/1.1 200 OK\r\nX-A: ", "x"},
		{"many headers", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nX-A: " + strings.Repeat("b", 4<<10) + "\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, end := duty.New(context.Background())
			defer end()
			var read atomic.Int64
			p, closer := upstream.New(func(context.Context, string, string) (net.Conn, error) {
				a, b := net.Pipe()
				g.Go(func(context.Context) error {
					defer func() { _ = b.Close() }()
					if _, err := b.Read(make([]byte, 4<<10)); err != nil {
						return nil
					}
					block := []byte(c.begin)
					for {
						if _, err := b.Write(block); err != nil {
							return nil
						}
						block = []byte(strings.Repeat(c.repeat, 1+(4<<10)/len(c.repeat)))
					}
				})
				return countingConn{a, &read}, nil
			})
			defer closer()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			a, err := p.Do(ctx, upstream.Call{Address: "10.0.0.1:80", Request: &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: "10.0.0.1:80", Path: "/"}, Header: http.Header{}}})
			if err == nil {
				_, _ = io.CopyN(io.Discard, a.Body, 1)
				_ = a.Body.Close()
			}
			if !fault.Has(err, fault.BadAnswer) {
				t.Errorf("failure: got %v, want a bad answer", err)
			}
			if got := read.Load(); got > maxRead {
				t.Errorf("bytes read: got %d, want at most %d", got, maxRead)
			}
		})
	}
}
