package dev_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/dev"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/loopback"
	"github.com/wardridge/wardridge/internal/sample"
)

// signal is closed at the first write.
type signal struct {
	once sync.Once
	done chan struct{}
}

func (s *signal) Write(b []byte) (int, error) {
	s.once.Do(func() { close(s.done) })
	return len(b), nil
}

// The system must not report that it is ready before its entry VMs serve requests.
func TestUpSaysReadyWhenTheFirstRequestIsServed(t *testing.T) {
	g, end := duty.New(context.Background())
	defer end()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &signal{done: make(chan struct{})}
	// Another small system may run on this machine.
	host := loopback.Host()
	g.Go(func(context.Context) error { return dev.Up(ctx, host, event.Discard(), s) })
	select {
	case <-s.done:
	case <-time.After(time.Minute):
		t.Fatal("ready: got no output in a minute, want the instructions")
	}
	body := `{"model":"desk","messages":[{"role":"user","content":"Can I have a skip on Friday?"}]}`
	for _, a := range []string{host + ":7001", host + ":7002"} {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a+"/v1/chat/completions", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Authorization", "Bearer "+sample.KeyDispatch)
		w, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(w.Body)
		_ = w.Body.Close()
		if w.StatusCode != http.StatusOK || !bytes.Contains(b, []byte("choices")) {
			t.Errorf("first request at %s: got %d %s, want an answer", a, w.StatusCode, b)
		}
	}
}
