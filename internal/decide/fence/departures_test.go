package fence_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/fence"
)

var begin = time.Unix(100, 0)

func TestListed(t *testing.T) {
	for _, c := range []struct {
		name   string
		after  time.Duration
		report []api.RequestID
		change func(d *fence.Departures)
		want   []api.RequestID
	}{
		{"still listed", 1500 * time.Millisecond, []api.RequestID{"b", "a", "x"}, nil, []api.RequestID{"a", "b"}},
		{"report that may be older than the departure", 900 * time.Millisecond, []api.RequestID{"a"}, nil, nil},
		{"no longer listed", 1500 * time.Millisecond, []api.RequestID{"x"}, nil, nil},
		{"returned", 1500 * time.Millisecond, []api.RequestID{"a"}, func(d *fence.Departures) { d.Return("s", "a") }, nil},
		{"expired", time.Minute, []api.RequestID{"a"}, func(d *fence.Departures) { d.Expire(begin.Add(time.Minute)) }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := fence.NewDepartures()
			d.Record(begin, "s", "a")
			d.Record(begin, "s", "b")
			d.Record(begin, "other", "x")
			if c.change != nil {
				c.change(d)
			}
			report := map[api.RequestID]int{}
			for _, r := range c.report {
				report[r] = 1
			}
			now := begin.Add(c.after)
			if got := d.Listed(now, "s", report); !slices.Equal(got, c.want) {
				t.Errorf("listed: got %v, want %v", got, c.want)
			}
			if got := d.Listed(now, "s", report); len(got) > 0 {
				t.Errorf("listed a second time: got %v, want none", got)
			}
		})
	}
}
