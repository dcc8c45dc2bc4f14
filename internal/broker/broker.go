package broker

import (
	"context"
	"sync"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/dispatch"
	"github.com/wardridge/wardridge/internal/fault"
)

// Grant is the engine that a request may use, and the reason for it.
type Grant struct {
	Server api.ServerName
	Reason string
}

// Broker shares one dispatcher among the requests of a process.
type Broker struct {
	mutex      sync.Mutex
	dispatcher *dispatch.Dispatcher
	waiters    map[api.RequestID]chan dispatch.Action
}

// New creates a broker for a dispatcher, which must not be used otherwise.
func New(d *dispatch.Dispatcher) *Broker {
	return &Broker{dispatcher: d, waiters: map[api.RequestID]chan dispatch.Action{}}
}

// apply updates the dispatcher with f and delivers the actions that result.
func (b *Broker) apply(f func(d *dispatch.Dispatcher) []dispatch.Action) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.deliver(f(b.dispatcher))
}

// deliver sends each action to the request that waits for it.
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
			// The caller has left, so its engine is released for other requests.
			l = append(l, b.dispatcher.Finish(time.Now(), a.Request, 0, false)...)
		}
	}
}

// Acquire waits for an engine for a new request.
func (b *Broker) Acquire(ctx context.Context, w dispatch.Work) (Grant, error) {
	return b.wait(ctx, w, (*dispatch.Dispatcher).Submit)
}

// Retry waits for another engine after a failed attempt.
func (b *Broker) Retry(ctx context.Context, w dispatch.Work) (Grant, error) {
	return b.wait(ctx, w, (*dispatch.Dispatcher).Retry)
}

// submitFunc submits a request to the dispatcher.
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
		return Grant{}, fault.Wrap(fault.CallerGone, ctx.Err(), "the caller left while its request waited").WithRan(api.RanNo)
	}
}

func toGrant(a dispatch.Action) (Grant, error) {
	if a.Refusal != nil {
		return Grant{}, a.Refusal
	}
	return Grant{Server: a.Server, Reason: a.Reason}, nil
}

// abandon removes a waiting request. If it has just been given an engine, abandon releases
// the engine.
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

// Progress records the number of tokens that a request has generated.
func (b *Broker) Progress(r api.RequestID, made api.Tokens) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dispatcher.Progress(r, made)
}

// Finish releases the engine of a request. ended is false if the attempt was cut off.
func (b *Broker) Finish(r api.RequestID, made api.Tokens, ended bool) {
	b.apply(func(d *dispatch.Dispatcher) []dispatch.Action {
		return d.Finish(time.Now(), r, made, ended)
	})
}

// Declare replaces the set of declared engines.
func (b *Broker) Declare(l []dispatch.Server) {
	b.apply(func(d *dispatch.Dispatcher) []dispatch.Action {
		return d.Declare(time.Now(), l)
	})
}

// Report records a load report of an engine.
func (b *Broker) Report(r api.LoadReport) {
	b.apply(func(d *dispatch.Dispatcher) []dispatch.Action {
		return d.Report(time.Now(), r)
	})
}

// SetLeaving records whether the platform's list of VMs marks a server as leaving.
func (b *Broker) SetLeaving(n api.ServerName, leaving bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dispatcher.SetLeaving(n, leaving)
}

// ObserveRefusal records that an engine refused a request. leaving is set if it refused
// because it is leaving.
func (b *Broker) ObserveRefusal(n api.ServerName, leaving bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dispatcher.ObserveRefusal(time.Now(), n, leaving)
}

// MarkUnreachable records that a connection to an engine failed.
func (b *Broker) MarkUnreachable(n api.ServerName) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dispatcher.MarkUnreachable(n)
}

// Tick refuses the requests whose wait has expired, and starts those that fit.
func (b *Broker) Tick() {
	b.apply(func(d *dispatch.Dispatcher) []dispatch.Action {
		return d.Tick(time.Now())
	})
}

// Stop refuses all waiting requests, as this entry VM stops.
func (b *Broker) Stop() {
	b.apply((*dispatch.Dispatcher).StopWaiting)
}

// Waiting returns the number of waiting requests.
func (b *Broker) Waiting() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.dispatcher.Waiting()
}

// Status lists the states of the engines as known to this entry VM.
func (b *Broker) Status() []api.ServerStatus {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.dispatcher.Status(time.Now())
}
