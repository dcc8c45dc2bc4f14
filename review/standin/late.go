package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// lateConn is a connection of a server. What is pending is written as soon as the next request arrives on it,
// before the answer to that request.
type lateConn struct {
	net.Conn

	mutex   sync.Mutex
	pending []byte
}

// Read reads what a caller sends.
func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mutex.Lock()
		b := c.pending
		c.pending = nil
		c.mutex.Unlock()
		if len(b) > 0 {
			_, _ = c.Conn.Write(b)
		}
	}
	return n, err
}

// lateListener accepts connections as lateConns.
type lateListener struct {
	net.Listener
}

// Accept accepts a connection.
func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{Conn: c}, nil
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// answerAgain makes the answer to a request come a second time, in the place of the answer to the next request
// on its connection. It carries the id of the request, if that has one.
func answerAgain(r *http.Request, v any) {
	c, ok := r.Context().Value(connKey{}).(*lateConn)
	if !ok {
		return
	}
	b, err := json.Marshal(v)
	if err != nil {
		return
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	if id := r.Header.Get("X-Request-Id"); id != "" {
		head += "X-Request-Id: " + id + "\r\n"
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending = fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(b), b)
}
