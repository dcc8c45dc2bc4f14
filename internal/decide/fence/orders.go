package fence

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

const (
	// absentDelay is the time between two probes of a server that can't be reached. It bounds how long the server
	// works on its runs once it is reachable again.
	absentDelay = 200 * time.Millisecond
	// refusedDelay is that time for a server that refuses connections, whose process has most likely ended.
	refusedDelay = time.Second
	// deadlineSlack is how long after the deadline of a run its server may still work on it: the server's time
	// begins when the request reaches it.
	deadlineSlack = time.Second
)

// ProbeDelay returns the time from an order to the next one to a server whose orders are suspended.
func ProbeDelay(o Outcome) time.Duration {
	if o == Refused {
		return refusedDelay
	}
	return absentDelay
}

// Expiry returns when a server no longer works on a run with a deadline, whether it has confirmed an order or not.
func Expiry(deadline time.Time) time.Time {
	return deadline.Add(deadlineSlack)
}

// Orders holds the runs that servers have been ordered to stop without a confirmation, with what O knows of the
// orders. While the orders to a server are suspended, one run at a time is used to probe the server. It is not safe
// for concurrent use.
type Orders[O comparable] struct {
	byServer map[api.ServerName]*serverOrders[O]
}

// serverOrders are the runs at one server.
type serverOrders[O comparable] struct {
	runs map[api.RequestID]*unconfirmed[O]
	// probed is set while the server is probed.
	probed bool
}

// unconfirmed is one run.
type unconfirmed[O comparable] struct {
	order     O
	expiry    time.Time
	suspended bool
}

// NewOrders creates an empty record.
func NewOrders[O comparable]() *Orders[O] {
	return &Orders[O]{byServer: map[api.ServerName]*serverOrders[O]{}}
}

// Begin records that a server is ordered to stop a run, which it no longer works on after the expiry.
func (d *Orders[O]) Begin(s api.ServerName, r api.RequestID, o O, expiry time.Time) {
	if d.byServer[s] == nil {
		d.byServer[s] = &serverOrders[O]{runs: map[api.RequestID]*unconfirmed[O]{}}
	}
	d.byServer[s].runs[r] = &unconfirmed[O]{order: o, expiry: expiry}
}

// Suspend records that the orders for a run are suspended. It reports whether the caller is to probe the server from
// now on.
func (d *Orders[O]) Suspend(s api.ServerName, r api.RequestID, o O) bool {
	u := d.find(s, r, o)
	if u == nil {
		return false
	}
	u.suspended = true
	l := d.byServer[s]
	first := !l.probed
	l.probed = true
	return first
}

// Resume ends the suspension for all runs at a server, which has given a sign of life, and returns their orders.
func (d *Orders[O]) Resume(s api.ServerName) []O {
	l := d.byServer[s]
	if l == nil {
		return nil
	}
	var orders []O
	for _, u := range l.runs {
		if u.suspended {
			u.suspended = false
			orders = append(orders, u.order)
		}
	}
	return orders
}

// Probe ends the suspension of one run at a server, whose order is the next probe. It reports false if there is none:
// the server is then no longer probed. Expired has the suspended orders of runs that the server no longer works on.
func (d *Orders[O]) Probe(now time.Time, s api.ServerName) (next O, ok bool, expired []O) {
	l := d.byServer[s]
	if l == nil {
		return next, false, nil
	}
	var last *unconfirmed[O]
	for _, u := range l.runs {
		switch {
		case !u.suspended:
		case !now.Before(u.expiry):
			u.suspended = false
			expired = append(expired, u.order)
		case last == nil || u.expiry.After(last.expiry):
			last = u
		}
	}
	if last == nil {
		l.probed = false
		d.trim(s)
		return next, false, expired
	}
	last.suspended = false
	return last.order, true, expired
}

// End records that no more orders for a run are sent to a server, and reports whether there were any.
func (d *Orders[O]) End(s api.ServerName, r api.RequestID, o O) bool {
	if d.find(s, r, o) == nil {
		return false
	}
	delete(d.byServer[s].runs, r)
	d.trim(s)
	return true
}

// Withdraw returns the order for a run that is about to continue at the server, and ends it; false if there is none.
func (d *Orders[O]) Withdraw(s api.ServerName, r api.RequestID) (o O, ok bool) {
	l := d.byServer[s]
	if l == nil || l.runs[r] == nil {
		return o, false
	}
	o = l.runs[r].order
	d.End(s, r, o)
	return o, true
}

// Len counts the runs.
func (d *Orders[O]) Len() int {
	n := 0
	for _, l := range d.byServer {
		n += len(l.runs)
	}
	return n
}

// find returns the record of a run with an order, nil if there is none.
func (d *Orders[O]) find(s api.ServerName, r api.RequestID, o O) *unconfirmed[O] {
	l := d.byServer[s]
	if l == nil {
		return nil
	}
	if u := l.runs[r]; u != nil && u.order == o {
		return u
	}
	return nil
}

// trim drops the record of a server that has no runs and is not probed.
func (d *Orders[O]) trim(s api.ServerName) {
	if l := d.byServer[s]; l != nil && len(l.runs) == 0 && !l.probed {
		delete(d.byServer, s)
	}
}
