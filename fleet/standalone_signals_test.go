package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/sample"
	"github.com/wardridge/wardridge/internal/standin/service"
	"github.com/wardridge/wardridge/internal/wire"
)

// callStats counts the outcomes of calls to a plain service.
type callStats struct {
	mutex           sync.Mutex
	served, refused int
	// withRetryAfter counts the refusals that have a Retry-After header.
	withRetryAfter int
	// maxInSpan is the highest number of calls that the service ran in any limitSpan.
	maxInSpan int
}

// callOrders sends one call to the plain service through entry VM i.
func (b *testbed) callOrders(c *http.Client, i int, id string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+b.vms[i].host+":80/services/orders/look", http.NoBody)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+sample.KeyField)
	r.Header.Set(wire.HeaderRequestID, id)
	a, err := c.Do(r)
	if err == nil {
		_ = a.Body.Close()
	}
	return a, err
}

// sendOrders sends calls at a rate through all entry VMs in turn for the duration d.
func (b *testbed) sendOrders(name string, perSecond int, d time.Duration) *callStats {
	b.t.Helper()
	client, closer := wire.NewClientWithDial(machine{b.net, "callers"}.dial, false)
	defer closer()
	var o callStats
	g, end := duty.New(context.Background())
	defer end()
	ran := []int{len(b.orders.Counts())}
	pause := time.Second / time.Duration(perSecond)
	span := int(limitSpan / pause)
	for i := range int(d / pause) {
		g.Go(func(context.Context) error {
			a, err := b.callOrders(client, i%len(b.vms), fmt.Sprintf("%s-%d", name, i))
			o.record(a, err)
			return nil
		})
		time.Sleep(pause)
		ran = append(ran, len(b.orders.Counts()))
		o.maxInSpan = max(o.maxInSpan, ran[len(ran)-1]-ran[max(0, len(ran)-1-span)])
	}
	time.Sleep(2 * time.Second)
	return &o
}

// record counts the outcome of a call.
func (o *callStats) record(a *http.Response, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch {
	case err != nil:
	case a.StatusCode == http.StatusOK:
		o.served++
	case a.Header.Get(wire.HeaderRan) == "no":
		o.refused++
		if a.Header.Get(wire.HeaderRetryAfter) != "" {
			o.withRetryAfter++
		}
	}
}

func TestPlainServiceRateLimitIsNotExceeded(t *testing.T) {
	const perSecond, seconds = 4.0, 20
	withFleet(t, 6, func(t *testing.T, b *testbed) {
		b.startBackends()
		b.orders.Set(service.Faults{Limit: perSecond})
		b.sendOrders("before", 30, limitSettleTime)
		o := b.sendOrders("limited", 30, seconds*time.Second)
		t.Logf("%d served, %d refused, at most %d in %v", o.served, o.refused, o.maxInSpan, limitSpan)
		if allowed := int(1.5*perSecond*limitSpan.Seconds()) + limitSlack; o.maxInSpan > allowed {
			t.Errorf("calls in %v: got %d, want at most %d", limitSpan, o.maxInSpan, allowed)
		}
		if want := int(0.8 * perSecond * seconds); o.served < want {
			t.Errorf("served: got %d, want at least %d", o.served, want)
		}
		if o.refused == 0 || o.withRetryAfter != o.refused {
			t.Errorf("refusals: got %d, of which %d with a retry time, want all with one", o.refused, o.withRetryAfter)
		}
		b.orders.Set(service.Faults{})
		b.sendOrders("after", 30, 5*time.Second)
		if o := b.sendOrders("free", 30, 5*time.Second); o.refused > 0 {
			t.Errorf("after the limit was removed: got %d of %d refused, want none", o.refused, o.refused+o.served)
		}
	})
}

func TestLeavingPlainServiceGetsNoMoreCalls(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, b *testbed) {
		b.startBackends()
		b.sendOrders("before", 30, time.Second)
		b.orders.Set(service.Faults{Leaving: true})
		b.sendOrders("told", 30, 5*time.Second)
		before := len(b.orders.Counts())
		o := b.sendOrders("late", 30, 5*time.Second)
		if got := len(b.orders.Counts()) - before; got > 0 {
			t.Errorf("calls later than 5 s after the service announced that it leaves: got %d, want none", got)
		}
		if o.served > 0 || o.withRetryAfter != o.refused {
			t.Errorf("calls to the leaving service: got %d served and %d of %d refusals with a retry time, want none and all", o.served, o.withRetryAfter, o.refused)
		}
	})
}

func TestPlainServiceBackoffIsHonored(t *testing.T) {
	withFleet(t, 6, func(t *testing.T, b *testbed) {
		b.startBackends()
		b.sendOrders("before", 30, time.Second)
		b.orders.Set(service.Faults{BackoffS: backoffTime.Seconds()})
		o := b.sendOrders("rest", 30, backoffTime)
		if got, allowed := b.orders.RefusedForBackoff(), (1+backoffSlack)*len(b.vms); got > allowed {
			t.Errorf("calls during the backoff: got %d, want at most %d", got, allowed)
		}
		b.orders.Set(service.Faults{})
		if o.refused == 0 || o.withRetryAfter != o.refused {
			t.Errorf("refusals: got %d, of which %d with a retry time, want all with one", o.refused, o.withRetryAfter)
		}
		if o := b.sendOrders("after", 30, 3*time.Second); o.refused > 0 {
			t.Errorf("after the backoff: got %d of %d refused, want none", o.refused, o.refused+o.served)
		}
	})
}
