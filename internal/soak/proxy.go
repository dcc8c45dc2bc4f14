package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/loopback"
)

// Mode is what a proxy does to the bytes that pass it.
type Mode string

// Modes of proxies.
const (
	// Pass passes bytes on.
	Pass Mode = ""
	// Delay passes bytes on late.
	Delay Mode = "delay"
	// Reset resets every connection, and each new one.
	Reset Mode = "reset"
	// HoldAll holds bytes of both directions.
	HoldAll Mode = "silent"
	// HoldRequests holds what clients send; Mute holds what they are answered.
	HoldRequests Mode = "deaf"
	HoldAnswers  Mode = "mute"
	// HoldOpen holds the bytes of the connections that are open, for good, and passes
	// those of new ones on.
	HoldOpen Mode = "stale"
)

// linkFaults are the faults of links.
var linkFaults = []Mode{Delay, Reset, HoldAll, HoldRequests, HoldAnswers, HoldOpen}

const (
	// proxyDelay is how late delayed bytes are: more than a pause between events
	// may be, less than callers wait.
	proxyDelay = 150 * time.Millisecond
	// pollInterval is the pause between looks whether held bytes may go on.
	pollInterval = 20 * time.Millisecond
	// bufferSize is the most bytes that are passed on at once.
	bufferSize = 16 << 10
)

// proxy passes connections on to one address.
type proxy struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	mode  Mode
	conns map[*net.TCPConn]bool
	// held connections carry nothing any more.
	held map[*net.TCPConn]bool
}

// newProxy listens on a loopback port; the clean-up cuts what is open.
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

// setMode changes the mode.
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

// modeOf is what happens to a connection's bytes at present.
func (p *proxy) modeOf(c *net.TCPConn) Mode {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.held[c]:
		return HoldAll
	case p.mode == HoldOpen:
		// Only connections that were open at its beginning are met.
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
	// Both fail only on connections that are closed already.
	_ = c.SetLinger(0)
	_ = c.Close()
}

// track notes an open connection, or resets it where the proxy does so.
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

// serve joins a connection to a new one to the target.
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
	// Each direction ends with its connection, which ends the other one unless it
	// was closed in order.
	_ = g.Wait()
	_ = a.Close()
	_ = b.Close()
}

// relay copies one direction, which a mode of its own holds.
func (p *proxy) relay(ctx context.Context, from, to *net.TCPConn, holdMode Mode) error {
	b := make([]byte, bufferSize)
	for {
		n, err := from.Read(b)
		if !p.awaitRelease(ctx, from, holdMode) {
			return ctx.Err()
		}
		if _, w := to.Write(b[:n]); w != nil {
			reset(from)
			return w
		}
		if errors.Is(err, io.EOF) {
			// The peer may be gone already; the other direction goes on.
			_ = to.CloseWrite()
			return nil
		}
		if err != nil {
			reset(to)
			return err
		}
	}
}

// awaitRelease waits while bytes are delayed or held; it reports false at the end.
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
