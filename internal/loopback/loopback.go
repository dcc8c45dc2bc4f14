package loopback

import (
	"context"
	"net"
	"os"
	"sync"

	"github.com/wardridge/wardridge/internal/fault"
)

// Addresses gives free addresses, none of them twice.
type Addresses struct {
	mutex  sync.Mutex
	issued map[string]bool
}

// New makes a source that has given none yet.
func New() *Addresses {
	return &Addresses{issued: map[string]bool{}}
}

// maxAttempts bounds the ports that are tried: a port that was given before may
// come again.
const maxAttempts = 100

// Free gives an address that is free now, on a loopback address of this
// process's own: connections of all processes take ports of 127.0.0.1 as they
// come, also ones that a stopped process is to listen on again.
func (a *Addresses) Free() (string, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for range maxAttempts {
		x, err := freeAddress()
		if err != nil {
			return "", err
		}
		if !a.issued[x] {
			a.issued[x] = true
			return x, nil
		}
	}
	return "", fault.New(fault.ListenFailed, "every free port was given before")
}

// Host is a loopback address of this process's own.
func Host() string {
	n := os.Getpid()
	return net.IPv4(127, byte(1+n>>16), byte(n>>8), byte(n)).String()
}

func freeAddress() (string, error) {
	l, err := listen(Host())
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// Listen opens a port for this process itself.
func Listen() (net.Listener, error) {
	return listen("127.0.0.1")
}

func listen(host string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, fault.Wrap(fault.ListenFailed, err, "opening a loopback port")
	}
	return l, nil
}
