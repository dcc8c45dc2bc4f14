package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/entry"
	"github.com/wardridge/wardridge/internal/wire"
)

// healthCheckInterval is the pause between health checks of the entry VMs.
const healthCheckInterval = 100 * time.Millisecond

// balancer is a stand-in for the platform's load balancer: it prefers entry VMs whose
// last health check succeeded, in turn.
type balancer struct {
	http      *http.Client
	mutex     sync.Mutex
	entries   []string
	unhealthy map[string]bool
}

func newBalancer(entries []string, d wire.DialFunc) *balancer {
	const wait = time.Second
	t := &http.Transport{DisableKeepAlives: true, DialContext: d}
	return &balancer{http: &http.Client{Transport: t, Timeout: wait}, entries: entries, unhealthy: map[string]bool{}}
}

// checkHealth checks every entry VM periodically until the context ends.
func (b *balancer) checkHealth(ctx context.Context) error {
	return duty.Loop(ctx, func() time.Duration { return healthCheckInterval }, func(ctx context.Context) {
		for _, e := range b.entries {
			ok := b.healthy(ctx, e)
			b.mutex.Lock()
			b.unhealthy[e] = !ok
			b.mutex.Unlock()
		}
	})
}

func (b *balancer) healthy(ctx context.Context, address string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+entry.PathHealth, nil)
	if err != nil {
		return false
	}
	a, err := b.http.Do(r)
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}

// candidates returns the entry VMs to try for a request, healthy ones first.
func (b *balancer) candidates(serial int) []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var up, down []string
	for i := range b.entries {
		e := b.entries[(serial+i)%len(b.entries)]
		if b.unhealthy[e] {
			down = append(down, e)
		} else {
			up = append(up, e)
		}
	}
	return append(up, down...)
}
