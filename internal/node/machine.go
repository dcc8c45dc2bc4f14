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

// Machine is what a process works on: connections, listeners and a clock that
// goes on while the VM is suspended.
type Machine struct {
	Dial   wire.Dial
	Listen func(ctx context.Context, address string) (net.Listener, error)
	Now    clock.Now
}

// dialTimeout bounds the time to connect to a backend server, a peer or the
// platform.
const dialTimeout = time.Second

// sendBufferSize bounds what the kernel holds for a caller that reads slowly.
const sendBufferSize = 128 << 10

// RealMachine is the machine that the process runs on.
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

// limitSendBuffer sets the bound on a listening socket, whose connections inherit it.
func limitSendBuffer(_, _ string, r syscall.RawConn) error {
	var err error
	e := r.Control(func(f uintptr) {
		err = unix.SetsockoptInt(int(f), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferSize)
	})
	return errors.Join(e, err)
}
