package wire_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/loopback"
	"github.com/wardridge/wardridge/internal/wire"
)

// fakeServer answers requests until its connections are set to silent, without closing
// them.
type fakeServer struct {
	mutex  sync.Mutex
	silent map[net.Conn]bool
	conns  []net.Conn
}

func (s *fakeServer) serve(_ context.Context, c net.Conn) {
	s.mutex.Lock()
	s.conns = append(s.conns, c)
	s.mutex.Unlock()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if q.URL.Path == "/slow" {
			time.Sleep(20 * time.Millisecond)
		}
		s.mutex.Lock()
		silent := s.silent[c]
		s.mutex.Unlock()
		if silent {
			continue
		}
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")); err != nil {
			return
		}
	}
}

// Idle connections can all go silent at the same time without being closed. After a call
// over one of them has failed, the next call must not use another of them.
func TestIdleConnectionsAreClosedAfterFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{silent: map[net.Conn]bool{}}
	g, end := duty.New(context.Background())
	t.Cleanup(func() {
		_ = l.Close()
		for _, c := range s.conns {
			_ = c.Close()
		}
		end()
	})
	loopback.Accept(g, l, s.serve)
	c, closer := wire.NewSingleHostClient((&net.Dialer{}).DialContext)
	t.Cleanup(closer)
	get := func(path string, wait time.Duration) error {
		x, cancel := context.WithTimeout(t.Context(), wait)
		defer cancel()
		return wire.Call(x, c, http.MethodGet, "http://"+l.Addr().String()+path, nil, nil)
	}
	// Concurrent calls leave several idle connections in the pool.
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			if err := get("/slow", 10*time.Second); err != nil {
				t.Error(err)
			}
		})
	}
	wait.Wait()
	s.mutex.Lock()
	for _, c := range s.conns {
		s.silent[c] = true
	}
	s.mutex.Unlock()
	if err := get("/", 100*time.Millisecond); err == nil {
		t.Fatal("call over a silent connection: got an answer, want an error")
	}
	if err := get("/", 10*time.Second); err != nil {
		t.Errorf("call after the failure: got %v, want an answer over a new connection", err)
	}
}
