package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/node"
	"github.com/wardridge/wardridge/internal/port"
)

const (
	// retrySpan, retryRatio and retrySlack are the bound on repeated sends.
	retrySpan  = 10 * time.Second
	retryRatio = 0.2
	retrySlack = 52
)

// arrivalLog records the requests that arrive at servers, of which all but every nth are refused.
type arrivalLog struct {
	acceptEvery int

	mutex    sync.Mutex
	arrivals map[api.RequestID][]time.Time
	sends    int
}

func newArrivalLog(acceptEvery int) *arrivalLog {
	return &arrivalLog{acceptEvery: acceptEvery, arrivals: map[api.RequestID][]time.Time{}}
}

// record records a request, and reports whether the server accepts it.
func (p *arrivalLog) record(n api.RequestID) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.arrivals[n] = append(p.arrivals[n], time.Now())
	p.sends++
	return p.sends%p.acceptEvery == 0
}

// fullPool is a pool whose servers refuse four of five requests.
type fullPool struct {
	*pool
	*arrivalLog
}

// Send refuses the request or runs it.
func (p *fullPool) Send(ctx context.Context, a port.Attempt) (port.Answer, error) {
	if !p.record(a.Request.ID) {
		return port.Answer{}, fault.New(fault.ServerRefused, "the server is full")
	}
	return p.pool.Send(ctx, a)
}

// excess returns the highest number of arrivals beyond the first of each request within retrySpan
// that is above the bound. The requests are those of the span, of the one before or of the one
// half a span before, whichever has most.
func (p *arrivalLog) excess(sent []time.Time) float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var repeats []time.Time
	for _, l := range p.arrivals {
		repeats = append(repeats, l[1:]...)
	}
	count := func(l []time.Time, from time.Time) int {
		n := 0
		for _, t := range l {
			if !t.Before(from) && t.Before(from.Add(retrySpan)) {
				n++
			}
		}
		return n
	}
	worst := -1.0 * retrySlack
	for _, t := range repeats {
		requests := max(count(sent, t), count(sent, t.Add(-retrySpan/2)), count(sent, t.Add(-retrySpan)))
		worst = max(worst, float64(count(repeats, t))-retryRatio*float64(requests)-retrySlack)
	}
	return worst
}

// kill ends entry VM i without a word to its peers.
func (b *hostedTestbed) kill(i, of int) {
	b.isolate(i, of)
	b.stops[i]()
}

// revive starts entry VM i again after a kill.
func (b *hostedTestbed) revive(i, of int) {
	b.rejoin(i, of)
	b.start(i)
}

// testRepeatedSends has callers of six entry VMs send requests to full servers while disturb changes
// the fleet, and checks the bound on repeated sends.
func testRepeatedSends(t *testing.T, disturb func(b *hostedTestbed, n int)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const n = 6
		p := &fullPool{newPool(0, 24), newArrivalLog(5)}
		b := prepareHostedTestbed(t, p.pool)
		b.settings = fmt.Sprintf("retry_window_s = %.0f\nretry_ratio = %v\nretry_slack = %v\n", retrySpan.Seconds(), retryRatio, retrySlack)
		b.newAdapter = func(i int, _ node.AdapterOptions) node.Adapter {
			a := b.newPoolAdapter(i)
			a.Backends = p
			return a
		}
		for i := range n {
			b.start(i)
		}
		time.Sleep(15 * time.Second)
		g, end := duty.New(context.Background())
		defer end()
		g.Go(func(context.Context) error {
			disturb(b, n)
			return nil
		})
		var sent []time.Time
		for i := range 600 {
			sent = append(sent, time.Now())
			g.Go(func(context.Context) error {
				b.send(i%n, newRequest(fmt.Sprintf("r-%d", i), "/safe/", "x"))
				return nil
			})
			time.Sleep(50 * time.Millisecond)
		}
		for i := range n {
			b.rejoin(i, n)
		}
		time.Sleep(5 * time.Second)
		if got := p.excess(sent); got > 0 {
			t.Errorf("repeated sends beyond the bound: got %.1f, want none", got)
		}
		if len(p.arrivals) < len(sent)/2 {
			t.Errorf("requests that reached servers: got %d of %d, want half", len(p.arrivals), len(sent))
		}
	})
}

// Undisturbed entry VMs stay within the bound while servers are full.
func TestFullServersDoNotExceedRetryBound(t *testing.T) {
	testRepeatedSends(t, func(*hostedTestbed, int) {})
}

// Killed entry VMs must not get a new share of the slack each time they start.
func TestKilledVMsDoNotExceedRetryBound(t *testing.T) {
	testRepeatedSends(t, func(b *hostedTestbed, n int) {
		for round := range 6 {
			time.Sleep(3 * time.Second)
			for k := range n / 2 {
				b.kill((round+2*k)%n, n)
			}
			time.Sleep(500 * time.Millisecond)
			for k := range n / 2 {
				b.revive((round+2*k)%n, n)
			}
		}
	})
}

// A rolling restart must not give the entry VMs a new share of the slack.
func TestRollingRestartDoesNotExceedRetryBound(t *testing.T) {
	testRepeatedSends(t, func(b *hostedTestbed, n int) {
		for range 3 {
			time.Sleep(2 * time.Second)
			for i := range n {
				b.stops[i]()
				b.start(i)
			}
		}
	})
}

// All entry VMs that start together must not each take the whole slack.
func TestRestartedFleetDoesNotExceedRetryBound(t *testing.T) {
	testRepeatedSends(t, func(b *hostedTestbed, n int) {
		for range 3 {
			time.Sleep(4 * time.Second)
			for i := range n {
				b.kill(i, n)
			}
			for i := range n {
				b.revive(i, n)
			}
		}
	})
}

// Entry VMs that are cut off from each other must not each take the whole slack.
func TestPartitionedVMsDoNotExceedRetryBound(t *testing.T) {
	testRepeatedSends(t, func(b *hostedTestbed, n int) {
		time.Sleep(3 * time.Second)
		for i := range n {
			b.isolate(i, n)
		}
		time.Sleep(20 * time.Second)
	})
}
