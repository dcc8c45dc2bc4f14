package broker

import (
	"context"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/dispatch"
	"github.com/wardridge/wardridge/internal/fault"
)

// Grant is the engine that a request was given.
type Grant struct {
	Server api.ServerName
	Reason string
}

// Broker guards one dispatcher.
type Broker struct {
	mutex   sync.Mutex
	dispatcher  *dispatch.Dispatcher
	waiters map[api.RequestID]chan dispatch.Action
}

// New makes a broker of a dispatcher that nobody else uses.
func New(d *dispatch.Dispatcher) *Broker {
	return &Broker{dispatcher: d, waiters: map[api.RequestID]chan dispatch.Action{}}
}

// apply runs one decision and passes its actions on.
func (b *Broker) apply(f func(d *dispatch.Dispatcher) []dispatch.Action) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.deliver(f(b.dispatcher))
}

func (b *Broker) deliver(l []dispatch.Action) {
	for len(l) > 0 {
		a := l[0]
		l = l[1:]
		w, ok := b.waiters[a.Request]
		if ok {
			delete(b.waiters, a.Request)
			w <- a
			continue
		}
		if a.Refusal == nil {
			// Its caller is gone; what it was given goes to others.
			l = append(l, b.dispatcher.Finish(time.Now(), a.Request, 0, false)...)
		}
	}
}

// Acquire waits for an engine for new work.
func (b *Broker) Acquire(ctx context.Context, w dispatch.Work) (Grant, error) {
	return b.wait(ctx, w, (*dispatch.Dispatcher).Submit)
}

// Retry waits for another engine after a failed attempt.
func (b *Broker) Retry(ctx context.Context, w dispatch.Work) (Grant, error) {
	return b.wait(ctx, w, (*dispatch.Dispatcher).Retry)
}

type submitFunc func(d *dispatch.Dispatcher, now time.Time, w dispatch.Work) []dispatch.Action

func (b *Broker) wait(ctx context.Context, w dispatch.Work, s submitFunc) (Grant, error) {
	c := make(chan dispatch.Action, 1)
	b.mutex.Lock()
	b.waiters[w.Request] = c
	b.deliver(s(b.dispatcher, time.Now(), w))
	b.mutex.Unlock()
	select {
	case a := <-c:
		return toGrant(a)
	case <-ctx.Done():
		b.abandon(w.Request, c)
		return Grant{}, fault.Wrap(fault.CallerGone, ctx.Err(), "the caller left while it waited").WithRan(api.RanNo)
	}
}

func toGrant(a dispatch.Action) (Grant, error) {
	if a.Refusal != nil {
		return Grant{}, a.Refusal
	}
	return Grant{Server: a.Server, Reason: a.Reason}, nil
}

// abandon takes a waiter out, also one that was given an engine just now.
func (b *Broker) abandon(r api.RequestID, c chan dispatch.Action) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.waiters, r)
	b.dispatcher.Cancel(r)
	select {
	case a := <-c:
		if a.Refusal == nil {
			b.deliver(b.dispatcher.Finish(time.Now(), r, 0, false))
		}
	default:
	}
}

// Progress notes the tokens that a request has made.
func (b *Broker) Progress(r api.RequestID, made api.Tokens) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dispatcher.Progress(r, made)
}

// Finish gives a request's engine back; ended is false when it was cut off.
func (b *Broker) Finish(r api.RequestID, made api.Tokens, ended bool) {
	b.apply(func(d *dispatch.Dispatcher) []dispatch.Action {
		return d.Finish(time.Now(), r, made, ended)
	})
}

// Declare takes the engines in force.
func (b *Broker) Declare(l []dispatch.Server) {
	b.apply(func(d *dispatch.Dispatcher) []dispatch.Action {
		return d.Declare(time.Now(), l)
	})
}

// Report takes a load report.
func (b *Broker) Report(r api.LoadReport) {
	b.apply(func(d *dispatch.Dispatcher) []dispatch.Action {
		return d.Report(time.Now(), r)
	})
}

// SetLeaving notes whether the platform's list says that a server is leaving.
func (b *Broker) SetLeaving(n api.ServerName, leaving bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dispatcher.SetLeaving(n, leaving)
}

// ObserveRefusal notes that an engine refused work.
func (b *Broker) ObserveRefusal(n api.ServerName, leaving bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dispatcher.ObserveRefusal(time.Now(), n, leaving)
}

// MarkUnreachable notes that an engine could not be connected to.
func (b *Broker) MarkUnreachable(n api.ServerName) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dispatcher.MarkUnreachable(n)
}

// Tick ends waits that are over and starts what fits.
func (b *Broker) Tick() {
	b.apply(func(d *dispatch.Dispatcher) []dispatch.Action {
		return d.Tick(time.Now())
	})
}

// Stop answers every request that waits.
func (b *Broker) Stop() {
	b.apply((*dispatch.Dispatcher).StopWaiting)
}

// Waiting counts the requests that wait.
func (b *Broker) Waiting() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.dispatcher.Waiting()
}

// Status lists the engines as this entry VM sees them.
func (b *Broker) Status() []api.ServerStatus {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.dispatcher.Status(time.Now())
}
