package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// conn is a kept connection of a client.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usable is unset once the connection has failed or the answer says that it closes.
	usable bool
}

func dial(address string) (*conn, error) {
	n, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, reader: bufio.NewReader(n), usable: true}, nil
}

// call is a request of a client.
type call struct {
	id, method, path string
	tokensIn, tokens int
	deadline         time.Duration
	body             string
}

// result is what a client got.
type result struct {
	call
	sent, ended time.Time
	status      int
	signature   string
	body        string
	// ids are the ids of the events of a stream.
	ids []int
	// complete is set if the answer has arrived up to its proper end.
	complete bool
	// anyByte is set if any byte of an answer has arrived.
	anyByte bool
	// kept is set if the connection had carried a request before.
	kept bool
	err  error
}

var lastID atomic.Int64

// newID returns the id of a request.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// do sends a request on the connection and reads the answer.
func (c *conn) do(x call) result {
	r := result{call: x}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: works.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", x.method, x.path, x.id, x.deadline.Milliseconds(), key)
	if x.tokens > 0 {
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Usage: %d,%d\r\nX-Prompt-Prefix: 5c1e07a2:79,%s:%d\r\n", x.tokensIn, x.tokens, x.id, x.tokensIn-79)
	}
	if x.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(x.body))
	}
	b.WriteString("\r\n" + x.body)
	r.sent = time.Now()
	_ = c.SetDeadline(r.sent.Add(x.deadline))
	_, err := io.WriteString(c, b.String())
	if err == nil {
		err = c.readAnswer(&r)
	}
	r.ended, r.err = time.Now(), err
	if err != nil {
		c.usable = false
		_ = c.Close()
	}
	return r
}

// readAnswer reads an answer to its end.
func (c *conn) readAnswer(r *result) error {
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	r.anyByte = true
	a, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	r.status, r.signature = a.StatusCode, a.Header.Get("X-Server-Signature")
	if a.Header.Get("X-Request-Id") != r.id {
		return errors.New("the answer has another request's id")
	}
	var text strings.Builder
	s := bufio.NewReader(io.TeeReader(a.Body, &limited{w: &text, left: 1 << 20}))
	for {
		l, err := s.ReadString('\n')
		if n, ok := strings.CutPrefix(strings.TrimSpace(l), "id: "); ok {
			if n, err := strconv.Atoi(n); err == nil {
				r.ids = append(r.ids, n)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	r.body, r.complete = text.String(), true
	if a.Close {
		c.usable = false
		_ = c.Close()
	}
	return nil
}

// limited writes the first bytes only.
type limited struct {
	w    io.Writer
	left int
}

func (l *limited) Write(p []byte) (int, error) {
	n := min(len(p), l.left)
	l.left -= n
	_, _ = l.w.Write(p[:n])
	return len(p), nil
}

// noteResult records what a client got.
func (b *bench) noteResult(vm string, r result) {
	b.note("client of %s: %s %s %s sent at %.3f s, ended at %.3f s: status %d, events %d, complete %v, any byte %v, error %v", vm, r.id, r.method, r.path, r.sent.Sub(b.started).Seconds(), r.ended.Sub(b.started).Seconds(), r.status, len(r.ids), r.complete, r.anyByte, r.err)
}
