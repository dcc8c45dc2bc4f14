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

// calls counts what callers of a plain service got.
type calls struct {
	mutex           sync.Mutex
	served, refused int
	// hints counts the refusals that tell when to come back.
	hints int
	// most is the most calls that the service ran in limitSpan.
	most int
}

// call sends one call to the plain service over entry VM i.
func (b *bed) call(c *http.Client, i int, id string) (*http.Response, error) {
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

// order sends so many calls a second over all entry VMs for a time.
func (b *bed) order(name string, perSecond int, d time.Duration) *calls {
	b.t.Helper()
	client, closer := wire.NewClientWithDial(machine{b.net, "callers"}.dial, false)
	defer closer()
	var o calls
	g, end := duty.New(context.Background())
	defer end()
	ran := []int{len(b.orders.Counts())}
	pause := time.Second / time.Duration(perSecond)
	span := int(limitSpan / pause)
	for i := range int(d / pause) {
		g.Go(func(context.Context) error {
			a, err := b.call(client, i%len(b.vms), fmt.Sprintf("%s-%d", name, i))
			o.note(a, err)
			return nil
		})
		time.Sleep(pause)
		ran = append(ran, len(b.orders.Counts()))
		o.most = max(o.most, ran[len(ran)-1]-ran[max(0, len(ran)-1-span)])
	}
	time.Sleep(2 * time.Second)
	return &o
}

func (o *calls) note(a *http.Response, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	switch {
	case err != nil:
	case a.StatusCode == http.StatusOK:
		o.served++
	case a.Header.Get(wire.HeaderRan) == "no":
		o.refused++
		if a.Header.Get(wire.HeaderRetryAfter) != "" {
			o.hints++
		}
	}
}

func TestPlainServiceGetsNoMoreThanItNamed(t *testing.T) {
	const perSecond, seconds = 4.0, 20
	fleet(t, 6, func(t *testing.T, b *bed) {
		b.work()
		b.orders.Set(service.Faults{Limit: perSecond})
		b.order("before", 30, limitSettle)
		o := b.order("limited", 30, seconds*time.Second)
		t.Logf("%d served, %d refused, at most %d in %v", o.served, o.refused, o.most, limitSpan)
		if allowed := int(1.5*perSecond*limitSpan.Seconds()) + limitSlack; o.most > allowed {
			t.Errorf("calls in %v: got %d, want at most %d", limitSpan, o.most, allowed)
		}
		if want := int(0.8 * perSecond * seconds); o.served < want {
			t.Errorf("served: got %d, want at least %d", o.served, want)
		}
		if o.refused == 0 || o.hints != o.refused {
			t.Errorf("refusals: got %d, of which %d tell when to come back, want all to", o.refused, o.hints)
		}
		b.orders.Set(service.Faults{})
		b.order("after", 30, 5*time.Second)
		if o := b.order("free", 30, 5*time.Second); o.refused > 0 {
			t.Errorf("after the limit was taken back: got %d of %d refused, want none", o.refused, o.refused+o.served)
		}
	})
}

func TestPlainServiceThatLeavesGetsNoMoreCalls(t *testing.T) {
	fleet(t, 6, func(t *testing.T, b *bed) {
		b.work()
		b.order("before", 30, time.Second)
		b.orders.Set(service.Faults{Leaving: true})
		b.order("told", 30, 5*time.Second)
		before := len(b.orders.Counts())
		o := b.order("late", 30, 5*time.Second)
		if got := len(b.orders.Counts()) - before; got > 0 {
			t.Errorf("calls later than 5 s after it said that it leaves: got %d, want none", got)
		}
		if o.served > 0 || o.hints != o.refused {
			t.Errorf("got %d served and %d of %d refusals with a time to come back, want none and all", o.served, o.hints, o.refused)
		}
	})
}

func TestPlainServiceThatAskedForRestIsLeftAlone(t *testing.T) {
	fleet(t, 6, func(t *testing.T, b *bed) {
		b.work()
		b.order("before", 30, time.Second)
		b.orders.Set(service.Faults{BackoffS: restTime.Seconds()})
		o := b.order("rest", 30, restTime)
		if got, most := b.orders.RefusedForBackoff(), (1+restSlack)*len(b.vms); got > most {
			t.Errorf("calls in the rest: got %d, want at most %d", got, most)
		}
		b.orders.Set(service.Faults{})
		if o.refused == 0 || o.hints != o.refused {
			t.Errorf("refusals: got %d, of which %d tell when to come back, want all to", o.refused, o.hints)
		}
		if o := b.order("after", 30, 3*time.Second); o.refused > 0 {
			t.Errorf("after the rest: got %d of %d refused, want none", o.refused, o.refused+o.served)
		}
	})
}
