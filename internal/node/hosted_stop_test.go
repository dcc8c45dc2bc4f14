package node_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/decide/replica"
	"github.com/wardridge/wardridge/internal/decide/roster"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/gateway"
	"github.com/wardridge/wardridge/internal/node"
	"github.com/wardridge/wardridge/internal/port"
)

// slowBackends are servers that answer after a time, or with an error once the request ends.
type slowBackends struct {
	port.Backends
	time  time.Duration
	begun chan bool
	// handled counts the requests that were read, if it is set.
	handled *atomic.Int64
}

func (b slowBackends) Send(ctx context.Context, _ port.Attempt) (port.Answer, error) {
	b.begun <- true
	if !duty.Sleep(ctx, b.time) {
		return port.Answer{}, fault.Wrap(fault.OutcomeUnknown, ctx.Err(), "no answer")
	}
	return port.Answer{Head: port.Head{Status: http.StatusOK}, Body: []byte("whole")}, nil
}

// answerSink writes answers and faults to a caller.
type answerSink struct {
	port.Sink
	writer http.ResponseWriter
}

func (k answerSink) WriteAnswer(a port.Answer) { _, _ = k.writer.Write(a.Body) }

func (k answerSink) Refuse(f *fault.Error) {
	k.writer.WriteHeader(http.StatusBadGateway)
	_, _ = io.WriteString(k.writer, f.Code.Kind().Type+" "+string(f.Ran))
}

// slowAdapter returns an adapter with one plain server.
func slowAdapter(b slowBackends) func(node.AdapterOptions) node.Adapter {
	return func(l node.AdapterOptions) node.Adapter {
		a := testAdapter(l)
		a.Backends = b
		a.Config = staticSource[directory.Config]{replica.Snapshot[directory.Config]{At: 1, Items: []replica.Object[directory.Config]{{Name: "main", Version: 1, Value: directory.Config{
			Version: 1, Services: []directory.Service{{Name: "plain"}},
			Routes: []directory.Route{{Name: "r", Host: "h", Prefix: "/", Kind: directory.Unsafe, MaxServers: 2, Targets: []directory.Target{{Service: "plain", Weight: 1}}}},
		}}}}}
		a.Servers = staticSource[roster.Server]{replica.Snapshot[roster.Server]{At: 1, Items: []replica.Object[roster.Server]{{Name: "p", Version: 1, Value: roster.Server{Name: "p", Service: "plain", Address: "p", Domain: "hall-a", Slots: 6}}}}}
		a.Ingress = func(g *gateway.Gateway) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if b.handled != nil {
					b.handled.Add(1)
				}
				g.Handle(r.Context(), &port.Request{ID: api.RequestID("r"), Method: r.Method, Host: "h", Path: r.URL.Path, Target: r.URL.Path, Header: http.Header{}, Arrived: time.Now()}, answerSink{writer: w})
			})
		}
		return a
	}
}

// A call that is in flight when the process ends must get an answer, not a closed connection.
func TestPlannedStopAnswersCallsInFlight(t *testing.T) {
	for _, c := range []struct {
		name string
		// time is how long the server takes; the process ends after 0.6 s.
		time time.Duration
		want string
	}{
		{"in time", 300 * time.Millisecond, "whole"},
		{"too late", time.Minute, "stopping unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := slowBackends{time: c.time, begun: make(chan bool, 1)}
			v := newTestVMWithAdapter(t, slowAdapter(b))
			v.awaitReady(t, true)
			var got string
			var failed error
			done := make(chan bool)
			g, end := duty.New(context.Background())
			t.Cleanup(end)
			g.Go(func(context.Context) error {
				defer close(done)
				r, err := http.Post(v.callers, "text/plain", http.NoBody)
				if err != nil {
					failed = err
					return nil
				}
				defer func() { _ = r.Body.Close() }()
				x, err := io.ReadAll(r.Body)
				got, failed = string(x), err
				return nil
			})
			<-b.begun
			v.stop()
			<-done
			if failed != nil || got != c.want {
				t.Errorf("got %q and %v, want %q", got, failed, c.want)
			}
			if err := <-v.done; err != nil {
				t.Errorf("stop: got %v, want no failure", err)
			}
		})
	}
}

// callerRequest is a request of a caller.
const callerRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// dialCaller opens a connection of a caller.
func (v *testVM) dialCaller(t *testing.T) callerConn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(v.callers, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return callerConn{c, bufio.NewReader(c)}
}

// callerConn is a kept connection of a caller.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
}

// call sends a request on the connection and returns the body of its answer.
func (c callerConn) call() (string, error) {
	return c.finish(callerRequest)
}

// finish sends the rest of a request and returns the body of its answer.
func (c callerConn) finish(rest string) (string, error) {
	if _, err := io.WriteString(c, rest); err != nil {
		return "", err
	}
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	return string(b), err
}

// A stop must answer each request that it reads, also one that crosses the end of the stop.
func TestPlannedStopAnswersWhatItReads(t *testing.T) {
	const (
		callers  = 40
		interval = 80 * time.Millisecond
		// balancerDelay is the time in which a stop answers on all connections.
		balancerDelay = 2500 * time.Millisecond
	)
	b := slowBackends{time: 20 * time.Millisecond, begun: make(chan bool, 3*callers), handled: &atomic.Int64{}}
	v := newTestVMWithSettings(t, strings.Replace(settingsText, "grace_s = 1", "grace_s = 8", 1), slowAdapter(b))
	v.awaitReady(t, true)
	var l []callerConn
	for range callers + 1 {
		x := v.dialCaller(t)
		if got, err := x.call(); got != "whole" || err != nil {
			t.Fatalf("before the stop: got %q and %v, want whole", got, err)
		}
		l = append(l, x)
	}
	answers := int64(len(l))
	began := time.Now()
	v.stop()
	half := l[callers]
	halfDone := make(chan error, 1)
	g, end := duty.New(context.Background())
	t.Cleanup(end)
	g.Go(func(context.Context) error {
		// Its first half arrives before the stop may end, the rest after that.
		time.Sleep(time.Until(began.Add(balancerDelay - 50*time.Millisecond)))
		_, err := io.WriteString(half, callerRequest[:20])
		time.Sleep(250 * time.Millisecond)
		if err == nil {
			_, err = half.finish(callerRequest[20:])
		}
		halfDone <- err
		return nil
	})
	for i, x := range l[:callers] {
		time.Sleep(time.Until(began.Add(time.Duration(i) * interval)))
		at := time.Since(began)
		got, err := x.call()
		switch {
		case err != nil && at < balancerDelay:
			t.Errorf("%v after the stop signal: got %v, want an answer or a refusal", at, err)
		case err != nil:
			// Unless its connection was closed unread, the number of requests that were read tells.
		case got != "whole" && got != "stopping no":
			t.Errorf("%v after the stop signal: got %q, want an answer or a refusal", at, got)
		default:
			answers++
		}
	}
	if <-halfDone == nil {
		answers++
	}
	if err := <-v.done; err != nil {
		t.Errorf("stop: got %v, want no failure", err)
	}
	if got := b.handled.Load(); got != answers {
		t.Errorf("requests read: got %d, of which %d were answered, want all", got, answers)
	}
}

// Guards against stops that last for callers who keep using their connections: a rolling restart then has more
// VMs away at a time, and all callers at the few that are left.
func TestPlannedStopDoesNotWaitForCallersToLeave(t *testing.T) {
	b := slowBackends{time: 20 * time.Millisecond, begun: make(chan bool, 100), handled: &atomic.Int64{}}
	v := newTestVMWithSettings(t, strings.Replace(settingsText, "grace_s = 1", "grace_s = 8", 1), slowAdapter(b))
	v.awaitReady(t, true)
	used := v.dialCaller(t)
	// An unused connection, as of a caller that opens some in advance.
	_ = v.dialCaller(t)
	began := time.Now()
	v.stop()
	g, end := duty.New(context.Background())
	t.Cleanup(end)
	g.Go(func(context.Context) error {
		// The connection is used about twice a second until it is closed.
		for open := true; open; time.Sleep(400 * time.Millisecond) {
			_, err := used.call()
			open = err == nil
		}
		return nil
	})
	if err := <-v.done; err != nil {
		t.Errorf("stop: got %v, want no failure", err)
	}
	if got, want := time.Since(began), 4*time.Second; got > want {
		t.Errorf("stop: got %v, want at most %v", got, want)
	}
}

// Guards against requests that are taken late in a planned stop, passed on, and cut off without an answer at its end.
func TestPlannedStopAnswersWhatItReadsUpToItsEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		time time.Duration
		// halves is set if each request arrives in two parts.
		halves bool
	}{
		{"fast server", 40 * time.Millisecond, false},
		{"slow server", 700 * time.Millisecond, false},
		{"requests in two parts", 40 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const callers = 12
			b := slowBackends{time: c.time, begun: make(chan bool, 1<<16), handled: &atomic.Int64{}}
			v := newTestVMWithSettings(t, strings.Replace(settingsText, "grace_s = 1", "grace_s = 4", 1), slowAdapter(b))
			v.awaitReady(t, true)
			var answers, whole atomic.Int64
			g, end := duty.New(context.Background())
			t.Cleanup(end)
			for i := range callers {
				g.Go(func(context.Context) error {
					for failures := 0; failures < 3; {
						x, err := net.Dial("tcp", strings.TrimPrefix(v.callers, "http://"))
						if err != nil {
							failures++
							continue
						}
						k := callerConn{x, bufio.NewReader(x)}
						for err == nil {
							if c.halves {
								_, _ = io.WriteString(x, callerRequest[:20])
								time.Sleep(time.Duration(10+i*7) * time.Millisecond)
							}
							var got string
							rest := callerRequest
							if c.halves {
								rest = callerRequest[20:]
							}
							if got, err = k.finish(rest); err != nil {
								break
							}
							answers.Add(1)
							if got == "whole" {
								whole.Add(1)
							}
						}
						_ = x.Close()
					}
					return nil
				})
			}
			time.Sleep(time.Second)
			v.stop()
			if err := <-v.done; err != nil {
				t.Errorf("stop: got %v, want no failure", err)
			}
			if err := g.Wait(); err != nil {
				t.Fatal(err)
			}
			if got, sent := b.handled.Load(), len(b.begun); got != answers.Load() || whole.Load() == 0 {
				t.Errorf("requests read: got %d, of which %d were passed on, %d answered, %d of them whole; want all answered", got, sent, answers.Load(), whole.Load())
			}
		})
	}
}
