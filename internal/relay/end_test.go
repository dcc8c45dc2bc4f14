package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
)

// request is what a caller writes first.
const request = "GET"

// serverOnce is a server that answers on its first connection and then ends it.
func serverOnce(t *testing.T, text string, end func(c *net.TCPConn)) net.Addr {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g, stop := duty.New(context.Background())
	t.Cleanup(func() {
		_ = l.Close()
		stop()
	})
	g.Go(func(context.Context) error {
		if c, err := l.Accept(); err == nil {
			_, _ = io.ReadFull(c, make([]byte, len(request)))
			_, _ = io.WriteString(c, text)
			end(c.(*net.TCPConn))
		}
		return nil
	})
	return l.Addr()
}

// An answer without a length ends with its connection, so that a relay must not make a broken connection
// look like one that the server has ended.
func TestBrokenServerConnectionIsNotEndedThroughRelay(t *testing.T) {
	tests := []struct {
		name string
		end  func(c *net.TCPConn, stopRelay func())
		want error
	}{
		{"the server ends the connection", func(c *net.TCPConn, _ func()) { _ = c.Close() }, nil},
		{"the server resets it", func(c *net.TCPConn, _ func()) {
			time.Sleep(50 * time.Millisecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		}, errAny},
		{"the relay ends", func(_ *net.TCPConn, stopRelay func()) {
			time.Sleep(50 * time.Millisecond)
			stopRelay()
		}, errAny},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			p := newVM(t)
			v := newVM(t, p)
			v.setBlock(errSilent)
			const text = "part of an answer"
			a := serverOnce(t, text, func(s *net.TCPConn) { c.end(s, p.end) })
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			n, err := v.DialServer(ctx, "tcp", a.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = n.Close() }()
			if _, err := io.WriteString(n, request); err != nil {
				t.Fatal(err)
			}
			_ = n.SetReadDeadline(time.Now().Add(5 * time.Second))
			b, err := io.ReadAll(n)
			if (err != nil) != (c.want != nil) {
				t.Errorf("end of the connection: got error %v, want error %v", err, c.want != nil)
			}
			if string(b) != text {
				t.Errorf("got %q, want %q", b, text)
			}
		})
	}
}

// errAny stands for any error.
var errAny = errors.New("any error")

// A peer of an earlier release sends no frames.
func TestRelayOfEarlierRelease(t *testing.T) {
	e := newEcho(t)
	p := newVM(t)
	p.earlierRelease.Store(true)
	v := newVM(t, p)
	v.setBlock(errSilent)
	c := v.connect(t, e)
	_ = c.Close()
}
