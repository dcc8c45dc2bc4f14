package fleet

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// coldRate is the rate that a cold server can take, in requests per second, and
	// coldDuration how long it stays cold.
	coldRate     = 4.0
	coldDuration = 4 * time.Second
	// In any second a cold server may get coldFactor times its rate plus coldSlack requests.
	coldFactor = 1.5
	coldSlack  = 5
)

// maxWithin returns the highest number of requests that a server got in any window of
// length span, counting those between from and until.
func (b *signalTestbed) maxWithin(n api.ServerName, from, until time.Time, span time.Duration) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var l []time.Time
	for _, a := range b.arrivals[n] {
		if !a.at.Before(from) && a.at.Before(until) {
			l = append(l, a.at)
		}
	}
	slices.SortFunc(l, time.Time.Compare)
	return maxInWindow(l, span)
}

// maxInWindow returns the highest number of the sorted times in any window of length span.
func maxInWindow(l []time.Time, span time.Duration) int {
	highest := 0
	for i, t := range l {
		k := i
		for k < len(l) && l[k].Sub(t) < span {
			k++
		}
		highest = max(highest, k-i)
	}
	return highest
}

func TestColdServersStayBelowTheirRate(t *testing.T) {
	tests := []struct {
		name           string
		vms            int
		plain, engines int
		load           float64
		path           string
	}{
		{"a plain server of three", 6, 3, 0, 60, "/safe/"},
		{"a plain server of three, many entry VMs", 24, 3, 0, 60, "/unsafe/"},
		{"an engine of six", 6, 0, 6, 90, "/stream/"},
		{"an engine of six, many entry VMs", 24, 0, 6, 90, "/stream/"},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newSignalTestbed(t, c.vms, c.plain, c.engines)
				x, err := b.pool.config.List(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				d := x.Items[0].Value
				d.Version++
				d.Services = slices.Clone(d.Services)
				for i := range d.Services {
					d.Services[i].ColdRate = coldRate
				}
				b.pool.config.put("main", d)
				b.sendAtRate(c.vms, c.load, 2*time.Second, c.path)
				s := b.servers[0]
				e := s.Server
				e.ColdFor = coldDuration
				b.pool.entries.put(string(s.ID), e)
				// Requests that were in flight when the server wrote its entry don't count.
				from := time.Now().Add(time.Second)
				until := time.Now().Add(coldDuration)
				o := b.sendAtRate(c.vms, c.load, coldDuration, c.path)
				if got, allowed := b.maxWithin(s.Name, from, until, time.Second), int(coldFactor*coldRate)+coldSlack; got > allowed {
					t.Errorf("requests to the cold server in one second: got %d, want at most %d", got, allowed)
				}
				if o.refused+o.failed > 0 {
					t.Errorf("with warm servers left: got %d refused and %d failed, want none", o.refused, o.failed)
				}
			})
		})
	}
}
