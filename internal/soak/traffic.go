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
	// meanCallerPause is the mean pause between a caller's requests.
	meanCallerPause = 60 * time.Millisecond
	// requestsPerVM is how many requests a caller sends to one entry VM before it chooses
	// again, as callers reuse their connections.
	requestsPerVM = 20
	// chatTimeout and callTimeout are how long callers wait for streams and for other
	// answers.
	chatTimeout = 15 * time.Second
	callTimeout = 3 * time.Second
	// maxStreamEvents bounds the events of a stream, so that it ends within stopGrace.
	maxStreamEvents = 220
	// callerLeaveChance is the probability that a caller leaves a stream before its end.
	callerLeaveChance = 0.1
	// maxRepeats is how often a caller sends a request again, and repeatPause the pause before.
	maxRepeats  = 2
	repeatPause = 50 * time.Millisecond
	// moveChance and newIDChance are the probabilities that callers which keep IDs send a request again to
	// another entry VM, or with a new ID.
	moveChance  = 0.3
	newIDChance = 0.3
	// probeInterval is the pause between probes of an entry VM's configuration.
	probeInterval = 150 * time.Millisecond
	// readinessInterval is the pause between readiness checks of the entry VMs, as a load
	// balancer makes them.
	readinessInterval = 300 * time.Millisecond
)

// pollReadiness is the duty that checks whether each entry VM accepts callers.
func (b *testbed) pollReadiness(ctx context.Context) error {
	return duty.Loop(ctx, func() time.Duration { return readinessInterval }, func(ctx context.Context) {
		for _, v := range b.vms {
			c, cancel := context.WithTimeout(ctx, readinessInterval)
			ok := hosted.Ready(c, b.Wire, b.http, v.readyAddress)
			cancel()
			v.mutex.Lock()
			v.acceptsCallers = ok
			v.mutex.Unlock()
		}
	})
}

// chooseVM returns a random entry VM among those that accept callers, or among all if none
// does.
func (b *testbed) chooseVM(r *rand.Rand) *vm {
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

// runCaller is the duty of one caller, which sends its requests one after the other.
func (b *testbed) runCaller(ctx context.Context, index int, seed uint64) {
	r := rand.New(rand.NewPCG(seed, uint64(index)+2))
	d := &net.Dialer{Timeout: time.Second}
	p, closer := upstream.New(d.DialContext)
	defer closer()
	c := hosted.NewCaller(b.Wire, p)
	v := b.chooseVM(r)
	for n := 0; ctx.Err() == nil; n++ {
		if n%requestsPerVM == 0 {
			v = b.chooseVM(r)
		}
		s := b.nextRequest(r, fmt.Sprintf("c%d-%d", index, n))
		if s.Kind == directory.Stream {
			s.Parts = []string{firstPart(index + n), fmt.Sprintf("b%x%04x", index, n)}
		}
		s = b.send(ctx, c, v, s)
		if s.Err != nil {
			v = b.chooseVM(r)
		}
		for i := 0; b.callersRepeat && i < maxRepeats && s.mayRepeat() && duty.Sleep(ctx, repeatPause); i++ {
			if !b.callersKeepIDs || r.Float64() < moveChance {
				v = b.chooseVM(r)
			}
			s.Try = s.firstOfTry()
			if !b.callersKeepIDs || r.Float64() < newIDChance {
				s.ID = api.RequestID(fmt.Sprintf("%s-r%d", s.Try, i+1))
			}
			s = b.send(ctx, c, v, s)
		}
		duty.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(meanCallerPause)))
	}
}

// send sends a request to an entry VM, and records and returns it with what its caller received.
func (b *testbed) send(ctx context.Context, c *hosted.Caller, v *vm, s SentRequest) SentRequest {
	s.VM = v.index
	s.At = time.Now()
	s.Reply = c.Do(context.WithoutCancel(ctx), v.callerProxy.address(), s.Call)
	s.Done = time.Now()
	b.recorder.update(func(x *Record) { x.Requests = append(x.Requests, s) })
	return s
}

// nextRequest draws a caller's next request.
func (b *testbed) nextRequest(r *rand.Rand, id string) SentRequest {
	s := SentRequest{Workspace: mainWorkspace, Call: hosted.Call{
		ID: api.RequestID(id), Method: http.MethodPost, Host: host, Key: mainKey, Wait: callTimeout, Body: "body of " + id,
	}}
	switch x := r.Float64(); {
	case x < 0.4:
		s.Kind, s.Target = directory.Stream, "/"+pathChat+"/"+id
		s.Wait = chatTimeout
		s.Tokens = api.Tokens(hosted.TokensPerEvent * (1 + r.IntN(maxStreamEvents)))
		if r.Float64() < callerLeaveChance {
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

// probeVM is the duty that probes which configuration an entry VM uses.
func (b *testbed) probeVM(ctx context.Context, v *vm) {
	d := &net.Dialer{Timeout: time.Second}
	p, closer := upstream.New(d.DialContext)
	defer closer()
	c := hosted.NewCaller(b.Wire, p)
	for n := 0; ctx.Err() == nil; n++ {
		b.probeOnce(ctx, v, c, n)
		duty.Sleep(ctx, probeInterval)
	}
}

// probedNames is how many of the extra paths or spare keys are probed: the newest ones are
// the most informative.
const probedNames = 4

// probeTarget is an extra path or spare key to probe an entry VM with.
type probeTarget struct {
	// list contains the path or key, at index.
	list      *[]versionedName
	index     int
	path, key string
	workspace api.WorkspaceName
	// unknownStatus is the status that versions without the path or key answer with.
	unknownStatus int
}

// nextProbeTarget returns the n-th target, alternating between paths and keys, or false if
// there is none yet.
func (b *testbed) nextProbeTarget(n int) (probeTarget, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	q := probeTarget{list: &b.extraRoutes, key: mainKey, workspace: mainWorkspace, unknownStatus: http.StatusNotFound}
	if n%2 == 1 {
		q = probeTarget{list: &b.spareKeys, path: pathParts, workspace: spareWorkspace, unknownStatus: http.StatusUnauthorized}
	}
	l := *q.list
	if len(l) == 0 {
		return q, false
	}
	q.index = len(l) - 1 - n/2%min(probedNames, len(l))
	if q.path == "" {
		q.path = l[q.index].name
	} else {
		q.key = l[q.index].name
	}
	return q, true
}

// probeOnce probes an entry VM with one request for an extra path or spare key.
func (b *testbed) probeOnce(ctx context.Context, v *vm, c *hosted.Caller, n int) {
	q, ok := b.nextProbeTarget(n)
	if !ok {
		return
	}
	id := api.RequestID(fmt.Sprintf("p%d-%d", v.index, n))
	s := SentRequest{VM: v.index, Kind: directory.Safe, Workspace: q.workspace, Call: hosted.Call{
		ID: id, Method: http.MethodGet, Host: host, Target: "/" + q.path + "/" + string(id), Key: q.key, Wait: callTimeout,
	}}
	v.mutex.Lock()
	w := Probe{VM: v.index, Incarnation: v.incarnation}
	v.mutex.Unlock()
	s.At = time.Now()
	w.At = s.At
	// A request that was sent is waited for, even after the end of the soak.
	s.Reply = c.Do(context.WithoutCancel(ctx), v.callerProxy.address(), s.Call)
	s.Done = time.Now()
	b.mutex.Lock()
	// The path or key may have been removed meanwhile.
	x := (*q.list)[q.index]
	b.mutex.Unlock()
	b.recorder.update(func(r *Record) {
		r.Requests = append(r.Requests, s)
		if w.setVersions(s.Status, q.unknownStatus, x) {
			r.Probes = append(r.Probes, w)
		}
	})
}

// setVersions sets which versions give a status for a path or key that is added and
// removed. A success comes from the versions that have it. The unknown status comes from
// versions before or after it, so it is conclusive only while the path or key has not been
// removed. It returns false if the status is not conclusive.
func (p *Probe) setVersions(status, unknownStatus int, x versionedName) bool {
	switch {
	case status == http.StatusOK:
		p.FromVersion, p.BeforeVersion = x.from, x.until
	case status == unknownStatus && x.until == 0:
		p.BeforeVersion = x.from
	default:
		return false
	}
	return true
}
