package loopback

import (
	"context"
	"net"
	"os"
	"sync"

	"github.com/wardridge/wardridge/internal/fault"
)

// Addresses hands out free addresses, each of them once.
type Addresses struct {
	mutex  sync.Mutex
	issued map[string]bool
}

// New creates a source that has handed out no address yet.
func New() *Addresses {
	return &Addresses{issued: map[string]bool{}}
}

// maxAttempts bounds the ports that are tried: the system may offer a port that was
// handed out before.
const maxAttempts = 100

// Free returns an address that is free now, on a loopback address that is specific to
// this process: outgoing connections of all processes take any port of 127.0.0.1,
// including one on which a stopped process has to listen again.
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
	return "", fault.New(fault.ListenFailed, "every free port was handed out before")
}

// Host returns a loopback address that is specific to this process.
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

// Listen opens a port of 127.0.0.1 on which this process itself listens.
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
