package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/loopback"
)

// Mode is what a proxy does to the bytes of its connections.
type Mode string

// Modes of proxies.
const (
	// Pass relays bytes unchanged.
	Pass Mode = ""
	// Delay relays bytes after proxyDelay.
	Delay Mode = "delay"
	// Reset resets every open connection and each new one.
	Reset Mode = "reset"
	// HoldAll holds the bytes of both directions.
	HoldAll Mode = "silent"
	// HoldRequests holds the bytes that clients send, HoldAnswers those sent to clients.
	HoldRequests Mode = "deaf"
	HoldAnswers  Mode = "mute"
	// HoldOpen permanently holds the bytes of the connections that are open when it is
	// set, and relays those of new connections.
	HoldOpen Mode = "stale"
	// Narrow relays narrowRate bytes a second in each direction, over all connections.
	Narrow Mode = "narrow"
)

// linkFaults are the modes that faults of links use.
var linkFaults = []Mode{Delay, Reset, HoldAll, HoldRequests, HoldAnswers, HoldOpen}

// narrowFaults are those of plans whose links may be narrow. Narrow is listed twice for a higher weight.
var narrowFaults = append(slices.Clone(linkFaults), Narrow, Narrow)

const (
	// proxyDelay is longer than a pause between events can be, and shorter than callers
	// wait.
	proxyDelay = 150 * time.Millisecond
	// pollInterval is the pause between checks whether held bytes may be relayed, and
	// between other checks for a condition.
	pollInterval = 20 * time.Millisecond
	// bufferSize is the maximum number of bytes that are relayed at once.
	bufferSize = 16 << 10
	// narrowRate is less than the streams of a few callers take.
	narrowRate = 24 << 10
)

// proxy relays TCP connections to one address.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	mode  Mode
	conns map[*net.TCPConn]bool
	// held connections stay open but never carry bytes again.
	held map[*net.TCPConn]bool
	// requestsFree and answersFree are when a narrow link has sent all bytes of a direction.
	requestsFree, answersFree time.Time
}

// newProxy accepts connections on a listener; the returned function closes the proxy and
// resets its open connections.
func newProxy(l net.Listener, target string) (*proxy, func()) {
	g, end := duty.New(context.Background())
	p := &proxy{listener: l, target: target, conns: map[*net.TCPConn]bool{}, held: map[*net.TCPConn]bool{}}
	loopback.Accept(g, l, func(ctx context.Context, c net.Conn) { p.serve(ctx, c.(*net.TCPConn)) })
	return p, func() {
		_ = l.Close()
		p.resetAll()
		end()
	}
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

// setMode changes the mode for open and new connections.
func (p *proxy) setMode(m Mode) {
	p.mutex.Lock()
	p.mode = m
	if m == HoldOpen {
		for c := range p.conns {
			p.held[c] = true
		}
	}
	p.mutex.Unlock()
	if m == Reset {
		p.resetAll()
	}
}

// modeOf returns the mode that currently applies to a connection.
func (p *proxy) modeOf(c *net.TCPConn) Mode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.held[c]:
		return HoldAll
	case p.mode == HoldOpen:
		// HoldOpen applies only to the connections that were open when it was set.
		return Pass
	default:
		return p.mode
	}
}

// resetAll resets every open connection.
func (p *proxy) resetAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(c *net.TCPConn) {
	// Both calls fail only if the connection is closed already.
	_ = c.SetLinger(0)
	_ = c.Close()
}

// track registers an open connection, or resets it and returns false in mode Reset.
func (p *proxy) track(c *net.TCPConn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.mode == Reset {
		reset(c)
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) untrack(c *net.TCPConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, c)
	delete(p.held, c)
}

// serve relays between an accepted connection and a new one to the target.
func (p *proxy) serve(ctx context.Context, a *net.TCPConn) {
	if !p.track(a) {
		return
	}
	defer p.untrack(a)
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", p.target)
	if err != nil {
		reset(a)
		return
	}
	b := c.(*net.TCPConn)
	if !p.track(b) {
		reset(a)
		return
	}
	defer p.untrack(b)
	g, end := duty.New(ctx)
	defer end()
	g.Go(func(ctx context.Context) error { return p.relay(ctx, a, b, HoldRequests) })
	g.Go(func(ctx context.Context) error { return p.relay(ctx, b, a, HoldAnswers) })
	// When one direction fails, it resets the connection of the other one; after an
	// orderly close the other direction continues.
	_ = g.Wait()
	_ = a.Close()
	_ = b.Close()
}

// relay copies the bytes of one direction, which holdMode holds in addition to HoldAll.
func (p *proxy) relay(ctx context.Context, from, to *net.TCPConn, holdMode Mode) error {
	b := make([]byte, bufferSize)
	for {
		n, err := from.Read(b)
		if !p.awaitRelease(ctx, from, holdMode) || !p.awaitRate(ctx, from, holdMode, n) {
			return ctx.Err()
		}
		if _, w := to.Write(b[:n]); w != nil {
			reset(from)
			return w
		}
		if errors.Is(err, io.EOF) {
			// The peer may be gone already; the other direction continues.
			_ = to.CloseWrite()
			return nil
		}
		if err != nil {
			reset(to)
			return err
		}
	}
}

// awaitRate waits until a narrow link has sent a number of bytes after those before them; it returns false if
// the context ends first.
func (p *proxy) awaitRate(ctx context.Context, from *net.TCPConn, holdMode Mode, n int) bool {
	if p.modeOf(from) != Narrow {
		return true
	}
	free := &p.requestsFree
	if holdMode == HoldAnswers {
		free = &p.answersFree
	}
	p.mutex.Lock()
	now := time.Now()
	if free.Before(now) {
		*free = now
	}
	*free = free.Add(time.Duration(n) * time.Second / narrowRate)
	d := free.Sub(now)
	p.mutex.Unlock()
	return duty.Sleep(ctx, d)
}

// awaitRelease waits while bytes are delayed or held; it returns false if the context ends
// first.
func (p *proxy) awaitRelease(ctx context.Context, from *net.TCPConn, holdMode Mode) bool {
	if p.modeOf(from) == Delay && !duty.Sleep(ctx, proxyDelay) {
		return false
	}
	for m := p.modeOf(from); m == HoldAll || m == holdMode; m = p.modeOf(from) {
		if !duty.Sleep(ctx, pollInterval) {
			return false
		}
	}
	return true
}
