package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/platform/standin"
)

// Promise is one of the promises that are judged.
type Promise string

// Promises.
const (
	Once     Promise = "once"
	NotRun   Promise = "not-run"
	Whole    Promise = "whole"
	Asked    Promise = "asked"
	Leaving  Promise = "leaving"
	Gone     Promise = "gone"
	Stop     Promise = "planned-stop"
	InForce  Promise = "in-force"
	NoRevert Promise = "no-revert"
	Recovery Promise = "recovery"
	Alive    Promise = "alive"
)

// Timed reports whether judging the promise compares times, which a machine
// that is shared may stretch.
func (p Promise) Timed() bool {
	switch p {
	case Leaving, Gone, InForce, Recovery, Stop:
		return true
	}
	return false
}

// Violation is a promise that was broken.
type Violation struct {
	Promise Promise       `json:"promise"`
	Request api.RequestID `json:"request,omitempty"`
	At      time.Time     `json:"at"`
	What    string        `json:"what"`
}

const (
	// settleTime is how long after a fault an entry VM has to be itself again:
	// the operators allow 3 s.
	settleTime = 3 * time.Second
	// leaveTime is how long after its notice a server may still get new requests:
	// the operators allow 2 s, and machines that are shared are given as much
	// again.
	leaveTime = 4 * time.Second
	// forceTime is the same for a configuration: 2 s are allowed.
	forceTime = 4 * time.Second
	// goneTime is how long a server may work on for a caller that has left.
	goneTime = 2 * time.Second
	// twoTime is how long two servers may be at work on one run.
	twoTime = 400 * time.Millisecond
	// recoverShare is the share of requests that is served once all is calm.
	recoverShare = 0.9
)

// judge holds what judging looks things up in.
type judge struct {
	Record
	sent  map[api.RequestID]*Sent
	runs  map[api.RequestID][]standin.Run
	found []Violation
}

// Judge gives the promises that a record shows broken.
func Judge(r Record) []Violation {
	j := &judge{Record: r, sent: map[api.RequestID]*Sent{}, runs: map[api.RequestID][]standin.Run{}}
	for i := range r.Sent {
		j.sent[r.Sent[i].ID] = &r.Sent[i]
	}
	for _, x := range r.Runs {
		j.runs[x.Request] = append(j.runs[x.Request], x)
	}
	for _, a := range r.Arrivals {
		j.arrival(a)
	}
	for i := range r.Sent {
		j.reply(&r.Sent[i])
	}
	j.versions()
	j.recovery()
	for _, d := range r.Died {
		j.add(Alive, "", r.End, d)
	}
	return j.found
}

func (j *judge) add(p Promise, id api.RequestID, at time.Time, what string) {
	j.found = append(j.found, Violation{Promise: p, Request: id, At: at, What: what})
}

// troubled reports whether an unplanned fault met an entry VM or a server in a
// span or shortly before it.
func (j *judge) troubled(s Span, vm int, server api.ServerName) bool {
	s.From = s.From.Add(-settleTime)
	return slices.ContainsFunc(j.Troubles, func(t Trouble) bool {
		met := t.VM == All || t.VM == vm || t.Server != "" && (server == "" || t.Server == server)
		return met && !t.Kind.Planned() && t.overlaps(s)
	})
}

// stopped reports whether an entry VM was stopped or started in a span or
// shortly before it.
func (j *judge) stopped(s Span, vm int) bool {
	s.From = s.From.Add(-settleTime)
	return slices.ContainsFunc(j.Troubles, func(t Trouble) bool {
		return t.VM == vm && t.Kind == StopVM && t.overlaps(s)
	})
}

// arrival judges what came to a server.
func (j *judge) arrival(a standin.Arrival) {
	s, ok := j.sent[a.Request]
	if !ok {
		j.add(Asked, a.Request, a.At, "a server got a request that no caller sent")
		return
	}
	if a.Method != s.Method || a.Target != s.Target || a.Body != s.Call.Body || a.Workspace != s.Workspace {
		j.add(Asked, a.Request, a.At, "a request was changed on its way, or came for another workspace")
	}
	if !slices.Contains(j.Services[route(s.Target)], j.Servers[a.Server]) {
		j.add(Asked, a.Request, a.At, "no configuration sends the request to the service of "+string(a.Server))
	}
	if a.Refused || a.Resumed {
		return
	}
	for _, l := range j.Leaves {
		if l.Server == a.Server && a.At.Sub(l.At) > leaveTime && !j.troubled(Span{l.At, a.At}, s.VM, "") {
			j.add(Leaving, a.Request, a.At, fmt.Sprintf("server %s got a new request %s after its notice", a.Server, a.At.Sub(l.At)))
		}
	}
}

// route is the first part of a path, which tells its route.
func route(target string) string {
	p, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	return p
}

// reply judges what a caller saw.
func (j *judge) reply(s *Sent) {
	r := j.runs[s.ID]
	if s.Kind != directory.Safe {
		j.once(s, r)
	}
	if len(r) > 0 && s.Kind != directory.Safe && !s.Signed && promisesNotRun(s.Status) {
		j.add(NotRun, s.ID, s.Done, "refused by "+strconv.Itoa(s.Status)+", although a server ran it")
	}
	if s.Status == http.StatusOK {
		j.whole(s, r)
	}
	j.gone(s, r)
	j.cut(s, r)
}

// promisesNotRun reports whether a status says that a request never runs.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// once judges that a request ran as one generation, at one server at a time.
func (j *judge) once(s *Sent, r []standin.Run) {
	for i, a := range r {
		for _, b := range r[i+1:] {
			if a.Generation != b.Generation {
				j.add(Once, s.ID, b.Began, fmt.Sprintf("ran at %s and again at %s", a.Server, b.Server))
			}
			both := Span{later(a.Began, b.Began), earlier(j.ended(a), j.ended(b))}
			if both.Until.Sub(both.From) > twoTime && !j.troubled(both, s.VM, "") {
				j.add(Once, s.ID, b.Began, fmt.Sprintf("%s and %s worked on it together", a.Server, b.Server))
			}
		}
	}
}

func (j *judge) ended(r standin.Run) time.Time {
	if r.Ended.IsZero() {
		return j.End
	}
	return r.Ended
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// whole judges the answer of a backend server.
func (j *judge) whole(s *Sent, r []standin.Run) {
	if !s.Signed || len(r) == 0 {
		j.add(Whole, s.ID, s.Done, "a success that no server gave")
		return
	}
	if s.Kind == directory.Stream {
		j.events(s, r)
		return
	}
	if !s.Whole {
		return
	}
	if !slices.ContainsFunc(r, func(x standin.Run) bool { return s.Reply.Body == standin.Body(s.ID, x.Server) }) {
		j.add(Whole, s.ID, s.Done, "the answer is not whole, or of another request")
	}
}

// events judges a stream: every event once, in order, of one generation.
func (j *judge) events(s *Sent, r []standin.Run) {
	for i, e := range s.Events {
		if want := fmt.Sprintf("%s %d %d", s.ID, r[0].Generation, i+1); e != want {
			j.add(Whole, s.ID, s.Done, fmt.Sprintf("event %q at the place of %q", e, want))
			return
		}
	}
	if want := int(s.Tokens) / standin.Stride; s.Whole && len(s.Events) != want {
		j.add(Whole, s.ID, s.Done, fmt.Sprintf("ended after %d of %d events", len(s.Events), want))
	}
}

// gone judges that servers stop their work for callers that left.
func (j *judge) gone(s *Sent, r []standin.Run) {
	if !s.Left {
		return
	}
	for _, x := range r {
		if e := j.ended(x); e.Sub(s.Done) > goneTime && !j.troubled(Span{s.Done, e}, s.VM, x.Server) {
			j.add(Gone, s.ID, e, fmt.Sprintf("%s worked on for %s", x.Server, e.Sub(s.Done)))
		}
	}
}

// cut judges that planned work cuts no request off.
func (j *judge) cut(s *Sent, r []standin.Run) {
	served := s.Left || s.Whole && (s.Status == http.StatusOK || promisesNotRun(s.Status))
	if served || len(r) == 0 || j.troubled(Span{s.At, s.Done}, s.VM, "") {
		return
	}
	j.add(Stop, s.ID, s.Done, fmt.Sprintf("answered by %d and cut off with nothing but planned work: %v", s.Status, s.Fault))
}

// versions judges what entry VMs served by.
func (j *judge) versions() {
	type life struct{ vm, life int }
	least := map[life]int64{}
	for _, p := range j.Probes {
		k := life{p.VM, p.Life}
		if p.Until > 0 && p.Until <= least[k] {
			j.add(NoRevert, "", p.At, fmt.Sprintf("VM %d served by a version before %d, after it had served by %d", p.VM, p.Until, least[k]))
		}
		least[k] = max(least[k], p.From)
		at, ok := j.Configs[p.Until]
		if ok && p.At.Sub(at) > forceTime && !j.troubled(Span{at, p.At}, p.VM, "") && !j.stopped(Span{at, p.At}, p.VM) {
			j.add(InForce, "", p.At, fmt.Sprintf("VM %d served by a version before %d, %s after it was accepted", p.VM, p.Until, p.At.Sub(at)))
		}
	}
}

// recovery judges that requests are served once all is calm.
func (j *judge) recovery() {
	n, whole := 0, 0
	for _, s := range j.Sent {
		if s.At.Sub(j.Calm) < settleTime {
			continue
		}
		n++
		if s.Whole || s.Left {
			whole++
		}
	}
	if float64(whole) < recoverShare*float64(n) || n == 0 {
		j.add(Recovery, "", j.End, fmt.Sprintf("%d of %d requests were served once all was calm", whole, n))
	}
}
