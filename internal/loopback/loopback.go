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
	mutex sync.Mutex
	given map[string]bool
}

// New makes a source that has given none yet.
func New() *Addresses {
	return &Addresses{given: map[string]bool{}}
}

// triesMost bounds the ports that are tried: a port that was given before may
// come again.
const triesMost = 100

// Free gives an address that is free now, on a loopback address of this
// process's own: connections of all processes take ports of 127.0.0.1 as they
// come, also ones that a stopped process is to listen on again.
func (a *Addresses) Free() (string, error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for range triesMost {
		x, err := free()
		if err != nil {
			return "", err
		}
		if !a.given[x] {
			a.given[x] = true
			return x, nil
		}
	}
	return "", fault.New(fault.ListenFailed, "every free port was given before")
}

func free() (string, error) {
	n := os.Getpid()
	ip := net.IPv4(127, byte(1+n>>16), byte(n>>8), byte(n))
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		return "", fault.Wrap(fault.ListenFailed, err, "finding a free port")
	}
	return l.Addr().String(), l.Close()
}
