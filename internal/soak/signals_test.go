package soak_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/soak"
	"github.com/wardridge/wardridge/internal/standin/hosted"
)

// addArrivals adds requests of an entry VM that arrive at a server at a fixed interval,
// from a time in milliseconds on.
func addArrivals(r *soak.Record, vm, from, intervalMs, count int, w hosted.Signals) {
	for i := range count {
		id := api.RequestID(fmt.Sprintf("a-%d-%d-%d", vm, from, i))
		t := at(from + i*intervalMs)
		r.Requests = append(r.Requests, soak.SentRequest{
			Call:  hosted.Call{ID: id, Method: "POST", Target: "/orders/o", Body: "b"},
			Reply: hosted.Reply{Head: hosted.Head{Status: 503}, Complete: true}, Workspace: "main", VM: vm, At: t, Done: t,
		})
		r.Arrivals = append(r.Arrivals, hosted.Arrival{
			At: t, Server: "p1", Refused: true, Signals: w,
			Request: hosted.Request{ID: id, Method: "POST", Target: "/orders/o", Body: "b", Workspace: "main"},
		})
	}
}

func TestCheckReportsIgnoredSignals(t *testing.T) {
	two := 2.0
	limit, backoff, leaving := hosted.Signals{Limit: &two}, hosted.Signals{Backoff: 2 * time.Second}, hosted.Signals{Leaving: true}
	tests := []struct {
		name   string
		change func(r *soak.Record)
		want   soak.Property
	}{
		{"within the limit", func(r *soak.Record) { addArrivals(r, 0, 9000, 300, 30, limit) }, ""},
		{"beyond the limit", func(r *soak.Record) { addArrivals(r, 0, 9000, 100, 90, limit) }, soak.ServerLimit},
		{"beyond the limit before it has to be honored", func(r *soak.Record) { addArrivals(r, 0, 9000, 100, 29, limit) }, ""},
		{"beyond the limit only together with other VMs", func(r *soak.Record) {
			for vm := range 4 {
				addArrivals(r, vm, 9000, 400, 20, limit)
			}
		}, soak.ServerLimit},
		{"backoff that is honored", func(r *soak.Record) { addArrivals(r, 0, 11000, 2100, 3, backoff) }, ""},
		{"backoff that is not honored", func(r *soak.Record) { addArrivals(r, 0, 11000, 300, 6, backoff) }, soak.ServerBackoff},
		{"backoff and leave signals that were lost", func(r *soak.Record) {
			addArrivals(r, 0, 11000, 300, 6, hosted.Signals{Backoff: 2 * time.Second, Leaving: true})
			addArrivals(r, 0, 15500, 300, 2, hosted.Signals{Backoff: 2 * time.Second, Leaving: true})
			for i := range r.Arrivals {
				r.Arrivals[i].Lost = true
			}
		}, ""},
		{"backoff that is not honored after it was received once", func(r *soak.Record) {
			addArrivals(r, 0, 11000, 300, 6, backoff)
			for i := range r.Arrivals {
				r.Arrivals[i].Lost = r.Arrivals[i].At.After(at(11000))
			}
		}, soak.ServerBackoff},
		{"backoff that was requested from other VMs", func(r *soak.Record) {
			for vm := range 6 {
				addArrivals(r, vm, 11000+200*vm, 2100, 2, backoff)
			}
		}, ""},
		{"new request after a leave signal", func(r *soak.Record) { addArrivals(r, 0, 9000, 4500, 2, leaving) }, soak.LeavingServer},
		{"new request from another VM after a leave signal", func(r *soak.Record) {
			addArrivals(r, 0, 9000, 0, 1, leaving)
			addArrivals(r, 1, 14000, 0, 1, leaving)
		}, ""},
		{"new request after a leave signal and an unplanned fault", func(r *soak.Record) {
			addArrivals(r, 0, 9000, 4500, 2, leaving)
			r.Injections = []soak.Injection{{Fault: soak.Fault{Kind: soak.PauseVM}, VM: 0, Span: soak.Span{From: at(10000), Until: at(11000)}}}
		}, ""},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := validRecord()
			c.change(&r)
			var got soak.Property
			for _, v := range soak.Check(r) {
				if v.Property != soak.Recovery {
					got = v.Property
				}
			}
			if got != c.want {
				t.Errorf("got %q, want %q: %v", got, c.want, soak.Check(r))
			}
		})
	}
}
