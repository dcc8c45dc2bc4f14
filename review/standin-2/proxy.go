package main

import (
	"net"
	"sync"
	"time"
)

// lossyLink is the link between one entry VM and the store. In a burst of loss, what the entry VM sends
// arrives only with the first retransmission.
type lossyLink struct {
	address string
	to      string

	mutex     sync.Mutex
	lossUntil time.Time
	lost      int
}

// retransmission is the least time after which TCP sends a lost segment again.
const retransmission = 200 * time.Millisecond

func newLossyLink(to string) *lossyLink {
	p := &lossyLink{to: to}
	l := listen()
	p.address = l.Addr().String()
	background.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			background.Go(func() { p.carry(c) })
		}
	})
	return p
}

// lose loses what the entry VM sends for a time.
func (p *lossyLink) lose(d time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lossUntil = time.Now().Add(d)
}

// isLost reports whether a segment that is sent now is lost.
func (p *lossyLink) isLost() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if time.Now().After(p.lossUntil) {
		return false
	}
	p.lost++
	return true
}

func (p *lossyLink) losses() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.lost
}

func (p *lossyLink) carry(c net.Conn) {
	defer func() { _ = c.Close() }()
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	done := make(chan struct{})
	background.Go(func() {
		defer close(done)
		copyChunks(c, s, nil)
		_ = c.Close()
		_ = s.Close()
	})
	copyChunks(s, c, func() {
		if p.isLost() {
			time.Sleep(retransmission)
		}
	})
	_ = c.Close()
	_ = s.Close()
	<-done
}

// copyChunks copies until either end closes, and calls f before each write.
func copyChunks(to, from net.Conn, f func()) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if f != nil {
				f()
			}
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
