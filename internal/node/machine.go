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

// dialTime bounds the time to connect to a backend server, a peer or the
// platform.
const dialTime = time.Second

// sendBuffer bounds what the kernel holds for a caller that reads slowly.
const sendBuffer = 128 << 10

// RealMachine is the machine that the process runs on.
func RealMachine() Machine {
	d := &net.Dialer{Timeout: dialTime, KeepAlive: 15 * time.Second}
	l := &net.ListenConfig{Control: bounded}
	return Machine{
		Dial: d.DialContext,
		Listen: func(ctx context.Context, address string) (net.Listener, error) {
			return l.Listen(ctx, "tcp", address)
		},
		Now: clock.Boot,
	}
}

// bounded sets the bound on a listening socket, whose connections inherit it.
func bounded(_, _ string, r syscall.RawConn) error {
	var err error
	e := r.Control(func(f uintptr) {
		err = unix.SetsockoptInt(int(f), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
	})
	return errors.Join(e, err)
}
