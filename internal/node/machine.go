package node

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wardridge/wardridge/internal/clock"
	"github.com/wardridge/wardridge/internal/wire"
)

// Machine gives a process its connections, its listeners and a clock that also advances
// while the VM is suspended.
type Machine struct {
	Dial   wire.DialFunc
	Listen func(ctx context.Context, address string) (net.Listener, error)
	Now    clock.Now
}

// dialTimeout bounds the time to connect to a backend server, a peer or the platform, one
// call to an engine, and the closing of the caller listener at a planned stop.
const dialTimeout = time.Second

// sendBufferSize bounds the bytes that the kernel buffers for a caller that reads slowly.
const sendBufferSize = 128 << 10

// RealMachine returns the network and the clock of the operating system.
func RealMachine() Machine {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	l := &net.ListenConfig{Control: limitSendBuffer}
	return Machine{
		Dial: d.DialContext,
		Listen: func(ctx context.Context, address string) (net.Listener, error) {
			return l.Listen(ctx, "tcp", address)
		},
		Now: clock.Boot,
	}
}

// limitSendBuffer sets sendBufferSize on a listening socket. Its connections inherit it.
func limitSendBuffer(_, _ string, r syscall.RawConn) error {
	var err error
	e := r.Control(func(f uintptr) {
		err = unix.SetsockoptInt(int(f), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferSize)
	})
	return errors.Join(e, err)
}
