package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// cutLink is the path from all machines of the system to one server. While it is cut, nothing passes, and new
// connections hang.
type cutLink struct {
	address string
	to      string

	mutex    sync.Mutex
	listener *net.TCPListener
	// open is closed while bytes pass.
	open    chan struct{}
	accepts chan struct{}
	fillers []net.Conn
}

func newCutLink(to string) *cutLink {
	p := &cutLink{to: to, open: make(chan struct{})}
	close(p.open)
	l, ok := listen().(*net.TCPListener)
	if !ok {
		panic("listener without a socket")
	}
	p.listener, p.address = l, l.Addr().String()
	p.accept()
	return p
}

// accept accepts connections until the deadline of the listener has passed.
func (p *cutLink) accept() {
	done := make(chan struct{})
	p.accepts = done
	background.Go(func() {
		defer close(done)
		for {
			c, err := p.listener.Accept()
			if err != nil {
				return
			}
			background.Go(func() { p.carry(c) })
		}
	})
}

// setBacklog sets how many connections the kernel accepts before the process does.
func (p *cutLink) setBacklog(n int) {
	r, err := p.listener.SyscallConn()
	check(err)
	check(r.Control(func(f uintptr) { check(syscall.Listen(int(f), n)) }))
}

// fillerWait is the time after which a connection counts as hanging.
const fillerWait = 50 * time.Millisecond

// cut ends all passage: the queue of new connections is filled, so that the kernel drops opening packets.
func (p *cutLink) cut() {
	p.mutex.Lock()
	p.open = make(chan struct{})
	p.mutex.Unlock()
	check(p.listener.SetDeadline(time.Unix(1, 0)))
	<-p.accepts
	p.setBacklog(0)
	for {
		c, err := net.DialTimeout("tcp", p.address, fillerWait)
		if err != nil {
			return
		}
		p.fillers = append(p.fillers, c)
	}
}

// heal lets bytes and connections pass again.
func (p *cutLink) heal() {
	for _, c := range p.fillers {
		_ = c.Close()
	}
	p.fillers = nil
	p.setBacklog(128)
	check(p.listener.SetDeadline(time.Time{}))
	p.accept()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	close(p.open)
}

// pass waits while the path is cut.
func (p *cutLink) pass() {
	p.mutex.Lock()
	c := p.open
	p.mutex.Unlock()
	<-c
}

func (p *cutLink) carry(c net.Conn) {
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = c.Close()
		return
	}
	done := make(chan struct{})
	background.Go(func() {
		defer close(done)
		copyChunks(c, s, p.pass)
		p.pass()
		_ = c.Close()
		_ = s.Close()
	})
	copyChunks(s, c, p.pass)
	// The end of the connection passes no sooner than bytes do.
	p.pass()
	_ = c.Close()
	_ = s.Close()
	<-done
}
