package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/standin/hosted"
	"github.com/wardridge/wardridge/internal/upstream"
)

const (
	// callerPause is the mean pause between a caller's requests.
	callerPause = 60 * time.Millisecond
	// stayCalls is how many requests a caller sends to one entry VM before it
	// looks for another: callers keep their connections.
	stayCalls = 20
	// chatWait and callWait are how long callers wait.
	chatWait = 15 * time.Second
	callWait = 3 * time.Second
	// answerMost bounds a stream, in events: below the grace of a stop.
	answerMost = 220
	// leaveChance is how often a caller leaves a stream.
	leaveChance = 0.1
	// probeEvery is the pause between looks at an entry VM's configuration.
	probeEvery = 150 * time.Millisecond
	// lookEvery is the pause between looks at an entry VM's readiness, as a
	// balancer makes them.
	lookEvery = 300 * time.Millisecond
)

// balance is the duty that asks each entry VM whether it takes callers.
func (b *testbed) balance(ctx context.Context) error {
	return duty.Loop(ctx, func() time.Duration { return lookEvery }, func(ctx context.Context) {
		for _, v := range b.vms {
			c, cancel := context.WithTimeout(ctx, lookEvery)
			ok := hosted.Ready(c, b.Wire, b.http, v.readyAddress)
			cancel()
			v.mutex.Lock()
			v.acceptsCallers = ok
			v.mutex.Unlock()
		}
	})
}

// choose gives an entry VM that takes callers, or any where none does.
func (b *testbed) choose(r *rand.Rand) *vm {
	var l []*vm
	for _, v := range b.vms {
		v.mutex.Lock()
		if v.acceptsCallers {
			l = append(l, v)
		}
		v.mutex.Unlock()
	}
	if len(l) == 0 {
		l = b.vms
	}
	return l[r.IntN(len(l))]
}

// call is the duty of one caller, which sends one request after the other.
func (b *testbed) call(ctx context.Context, place int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(place)+2))
	d := &net.Dialer{Timeout: time.Second}
	p, closer := upstream.New(d.DialContext)
	defer closer()
	c := hosted.NewCaller(b.Wire, p)
	v := b.choose(r)
	for n := 0; ctx.Err() == nil; n++ {
		if n%stayCalls == 0 {
			v = b.choose(r)
		}
		s := b.next(r, fmt.Sprintf("c%d-%d", place, n))
		s.VM = v.index
		s.At = time.Now()
		s.Reply = c.Do(context.WithoutCancel(ctx), v.callerProxy.address(), s.Call)
		s.Done = time.Now()
		b.recorder.update(func(x *Record) { x.Requests = append(x.Requests, s) })
		if s.Err != nil {
			// What broke off is not asked for again at once, and elsewhere.
			v = b.choose(r)
		}
		duty.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(callerPause)))
	}
}

// next draws a caller's next request.
func (b *testbed) next(r *rand.Rand, id string) SentRequest {
	s := SentRequest{Workspace: mainWorkspace, Call: hosted.Call{
		ID: api.RequestID(id), Method: http.MethodPost, Host: host, Key: mainKey, Wait: callWait, Body: "body of " + id,
	}}
	switch x := r.Float64(); {
	case x < 0.4:
		s.Kind, s.Target = directory.Stream, "/"+pathChat+"/"+id
		s.Wait = chatWait
		s.Tokens = api.Tokens(hosted.TokensPerEvent * (1 + r.IntN(answerMost)))
		if r.Float64() < leaveChance {
			s.LeaveAfter = 1 + r.IntN(int(s.Tokens)/hosted.TokensPerEvent)
		}
	case x < 0.7:
		s.Kind, s.Target = directory.Unsafe, "/"+pathOrders+"/"+id+"?x=%2F"
	default:
		s.Kind, s.Target = directory.Safe, "/"+pathParts+"/"+id
		s.Method, s.Call.Body = http.MethodGet, ""
	}
	return s
}

// probe is the duty that looks which configuration an entry VM serves by.
func (b *testbed) probe(ctx context.Context, v *vm) {
	d := &net.Dialer{Timeout: time.Second}
	p, closer := upstream.New(d.DialContext)
	defer closer()
	c := hosted.NewCaller(b.Wire, p)
	for n := 0; ctx.Err() == nil; n++ {
		b.probeOnce(ctx, v, c, n)
		duty.Sleep(ctx, probeEvery)
	}
}

// newest is how many of the paths or keys that come and go are asked about: the
// newest ones tell most.
const newest = 4

// question asks an entry VM about one path or key that comes and goes.
type question struct {
	// list holds it, at a place.
	list      *[]versioned
	place     int
	path, key string
	workspace api.WorkspaceName
	// unknown is the status of versions that don't have it.
	unknown int
}

// question gives the n-th question, about paths and keys by turns, or false
// where there is nothing to ask about yet.
func (b *testbed) question(n int) (question, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	q := question{list: &b.extraRoutes, key: mainKey, workspace: mainWorkspace, unknown: http.StatusNotFound}
	if n%2 == 1 {
		q = question{list: &b.spareKeys, path: pathParts, workspace: spareWorkspace, unknown: http.StatusUnauthorized}
	}
	l := *q.list
	if len(l) == 0 {
		return q, false
	}
	q.place = len(l) - 1 - n/2%min(newest, len(l))
	if q.path == "" {
		q.path = l[q.place].name
	} else {
		q.key = l[q.place].name
	}
	return q, true
}

// probeOnce sends one request by a path or key that comes and goes.
func (b *testbed) probeOnce(ctx context.Context, v *vm, c *hosted.Caller, n int) {
	q, ok := b.question(n)
	if !ok {
		return
	}
	id := api.RequestID(fmt.Sprintf("p%d-%d", v.index, n))
	s := SentRequest{VM: v.index, Kind: directory.Safe, Workspace: q.workspace, Call: hosted.Call{
		ID: id, Method: http.MethodGet, Host: host, Target: "/" + q.path + "/" + string(id), Key: q.key, Wait: callWait,
	}}
	v.mutex.Lock()
	w := Probe{VM: v.index, Incarnation: v.incarnation}
	v.mutex.Unlock()
	s.At = time.Now()
	w.At = s.At
	// What was sent is waited for, also once the soak is over.
	s.Reply = c.Do(context.WithoutCancel(ctx), v.callerProxy.address(), s.Call)
	s.Done = time.Now()
	b.mutex.Lock()
	// It may have been removed meanwhile.
	x := (*q.list)[q.place]
	b.mutex.Unlock()
	b.recorder.update(func(r *Record) {
		r.Requests = append(r.Requests, s)
		if w.seen(s.Status, q.unknown, x) {
			r.Probes = append(r.Probes, w)
		}
	})
}

// seen takes which versions answer so to a request by a path or key that comes
// and goes. A success comes from the versions that have it; the status of what
// is unknown from those before or after it, which tells something only while
// it stands.
func (p *Probe) seen(status, unknown int, x versioned) bool {
	switch {
	case status == http.StatusOK:
		p.FromVersion, p.Until = x.from, x.until
	case status == unknown && x.until == 0:
		p.Until = x.from
	default:
		return false
	}
	return true
}
