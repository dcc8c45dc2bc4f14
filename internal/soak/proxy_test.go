package soak

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/loopback"
)

// startEcho starts a server that sends back what it receives, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g, end := duty.New(context.Background())
	t.Cleanup(func() {
		_ = l.Close()
		end()
	})
	loopback.Accept(g, l, func(_ context.Context, c net.Conn) {
		defer func() { _ = c.Close() }()
		_, _ = io.Copy(c, c)
	})
	return l.Addr().String()
}

// echoConn is one connection through a proxy to an echo server.
type echoConn struct {
	*proxy
	conn   net.Conn
	reader *bufio.Reader
}

func newEchoConn(t *testing.T) *echoConn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p, closer := newProxy(l, startEcho(t))
	t.Cleanup(closer)
	c, err := net.Dial("tcp", p.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	x := &echoConn{proxy: p, conn: c, reader: bufio.NewReader(c)}
	x.send(t, "one\n")
	if got, err := x.reader.ReadString('\n'); got != "one\n" {
		t.Fatalf("mode Pass: got %q, %v, want the line", got, err)
	}
	return x
}

func (x *echoConn) send(t *testing.T, s string) {
	t.Helper()
	if _, err := io.WriteString(x.conn, s); err != nil {
		t.Fatal(err)
	}
}

func TestHoldOpenKeepsOldConnectionsHeld(t *testing.T) {
	x := newEchoConn(t)
	x.setMode(HoldOpen)
	x.setMode(Pass)
	x.send(t, "two\n")
	_ = x.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var e net.Error
	if got, err := x.reader.ReadString('\n'); !errors.As(err, &e) || !e.Timeout() {
		t.Errorf("connection that was open: got %q, %v, want a timeout", got, err)
	}
	c, err := net.Dial("tcp", x.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "three\n"); err != nil {
		t.Fatal(err)
	}
	if got, err := bufio.NewReader(c).ReadString('\n'); got != "three\n" {
		t.Errorf("new connection: got %q, %v, want the line", got, err)
	}
}

func TestProxyReleasesHeldBytes(t *testing.T) {
	for _, m := range []Mode{HoldAll, HoldRequests, HoldAnswers} {
		x := newEchoConn(t)
		x.setMode(m)
		x.send(t, "two\n")
		_ = x.conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		var e net.Error
		if got, err := x.reader.ReadString('\n'); !errors.As(err, &e) || !e.Timeout() {
			t.Errorf("mode %s: got %q, %v, want a timeout", m, got, err)
		}
		x.setMode(Pass)
		_ = x.conn.SetReadDeadline(time.Time{})
		if got, err := x.reader.ReadString('\n'); got != "two\n" {
			t.Errorf("mode %s, then mode Pass: got %q, %v, want the line", m, got, err)
		}
	}
}

func TestProxyDelaysBothDirections(t *testing.T) {
	x := newEchoConn(t)
	x.setMode(Delay)
	began := time.Now()
	x.send(t, "two\n")
	if got, err := x.reader.ReadString('\n'); got != "two\n" || time.Since(began) < 2*proxyDelay {
		t.Errorf("got %q, %v after %s, want the line after two delays", got, err, time.Since(began))
	}
}

func TestProxyResetsOpenAndNewConnections(t *testing.T) {
	x := newEchoConn(t)
	x.setMode(Reset)
	if got, err := x.reader.ReadString('\n'); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("open connection: got %q, %v, want a reset", got, err)
	}
	c, err := net.Dial("tcp", x.address())
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("new connection: got %v, want a reset", err)
	}
}

func TestNarrowLinkDividesItsRate(t *testing.T) {
	x := newEchoConn(t)
	c, err := net.Dial("tcp", x.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	x.setMode(Narrow)
	began := time.Now()
	line := strings.Repeat("x", narrowRate/8-1) + "\n"
	x.send(t, line)
	if _, err := io.WriteString(c, line); err != nil {
		t.Fatal(err)
	}
	for _, r := range []*bufio.Reader{x.reader, bufio.NewReader(c)} {
		if got, err := r.ReadString('\n'); got != line {
			t.Errorf("got %d bytes, %v, want the line of %d", len(got), err, len(line))
		}
	}
	if got, want := time.Since(began), time.Second/4; got < want {
		t.Errorf("two connections with an eighth of a second's bytes each: got both back after %v, want %v at least", got, want)
	}
}
