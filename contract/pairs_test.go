package contract

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/standin/platform"
	"github.com/wardridge/wardridge/internal/standin/service"
)

// faultCase is a fault of a cluster; inject returns when the fault is over.
type faultCase struct {
	name   string
	inject func(b *cluster)
}

// faultDuration is the duration of a fault.
const faultDuration = 250 * time.Millisecond

var faultCases = []faultCase{
	{"platform down", func(b *cluster) {
		b.platform.Set(platform.Faults{Outage: true})
		time.Sleep(faultDuration)
		b.platform.Set(platform.Faults{})
	}},
	{"platform loses answers", func(b *cluster) {
		b.platform.Set(platform.Faults{LoseWriteAnswers: 5})
		time.Sleep(faultDuration)
	}},
	{"engine frozen", func(b *cluster) {
		b.engines["engine-1"].Freeze(faultDuration)
		time.Sleep(faultDuration)
	}},
	{"engine drops streams", func(b *cluster) { b.engines["engine-2"].DropStreams(6) }},
	{"engine leaves", func(b *cluster) { b.engines["engine-2"].Leave() }},
	{"service loses answers", func(b *cluster) { b.services["orders-1"].Set(service.Faults{LoseAnswers: 3}) }},
	{"entry VM stops", func(b *cluster) { b.vms[1].cancel() }},
	{"configuration changes", func(b *cluster) { b.setWeights("2026-10") }},
}

// TestPairsOfFaults injects every pair of faults, and each fault twice, while callers stream
// answers and make calls that are not repeatable.
func TestPairsOfFaults(t *testing.T) {
	for i, x := range faultCases {
		for _, y := range faultCases[i:] {
			t.Run(x.name+" and "+y.name, func(t *testing.T) {
				t.Parallel()
				injectPair(t, x, y)
			})
		}
	}
}

// injectPair injects two faults shortly after one another and checks that streams keep their order
// and that calls run at most once.
func injectPair(t *testing.T, x, y faultCase) {
	b := newCluster(t)
	b.startEngine("engine-1", nil, nil)
	b.startEngine("engine-2", nil, nil)
	s := b.startService("orders-1")
	b.setServers("orders-1")
	more := "stall_ms = 150\nresume_ms = 15000\nfirst_token_ms = 1000\n"
	b.startEntry("entry-1", more)
	b.startEntry("entry-2", more)
	g, end := duty.New(context.Background())
	defer end()
	var mutex sync.Mutex
	orders := map[string]api.ErrorDetail{}
	const callers, each = 4, 6
	for c := range callers {
		g.Go(func(context.Context) error {
			for i := range each {
				v := b.vms[(c+i)%2]
				key := fmt.Sprintf("%d-%d", c, i)
				checkStream(t, v.send(chatCall(25, true)))
				r := v.send(orderCall(key))
				if r.err == nil && r.status != http.StatusOK {
					mutex.Lock()
					orders[key] = r.fault()
					mutex.Unlock()
				}
			}
			return nil
		})
	}
	g.Go(func(context.Context) error { time.Sleep(faultDuration / 5); x.inject(b); return nil })
	g.Go(func(context.Context) error { time.Sleep(faultDuration / 3); y.inject(b); return nil })
	_ = g.Wait()
	for key, n := range s.Counts() {
		if n > 1 {
			t.Errorf("%s: got %d runs, want at most 1", key, n)
		}
		if f, ok := orders[key]; ok && f.Ran == api.RanNo {
			t.Errorf("%s: caller got \"not run\" (%s), got %d runs, want none", key, f.Type, n)
		}
	}
}

// checkStream checks that a streamed answer is complete, or that its tokens are in order and a
// typed fault ends it.
func checkStream(t *testing.T, r reply) {
	t.Helper()
	if r.err != nil {
		// A stopped entry VM refuses connections.
		return
	}
	got, complete := parseTokens(r.body)
	want := 25
	if !complete {
		want = len(got)
		if f := r.fault(); f.Code == 0 || f.Type == "internal" {
			t.Errorf("got status %d and %q, want a complete answer or a typed fault", r.status, r.body)
		}
	}
	if len(got) > 0 {
		checkTokens(t, got, 0, want)
	}
}
