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
	"github.com/wardridge/wardridge/internal/standin/hosted"
)

// Property is a property that every run must satisfy.
type Property string

// Properties.
const (
	// SingleRun: a request that is not safe to repeat runs as one generation, on one
	// server at a time.
	SingleRun Property = "once"
	// RefusedNotRun: a request that is not safe to repeat and is refused with a status
	// that means "not run" has not run on any server.
	RefusedNotRun Property = "not-run"
	// IntactAnswer: a successful answer comes from a server, is complete and belongs to
	// its request.
	IntactAnswer Property = "whole"
	// IntactRequest: servers get only requests that callers sent, unchanged, for the right
	// workspace and service.
	IntactRequest Property = "asked"
	// LeavingServer: a server gets no new requests after it has announced that it leaves.
	LeavingServer Property = "leaving"
	// ClosedDomain: servers in a closed failure domain get no new requests.
	ClosedDomain Property = "closed"
	// CallerGone: servers stop working on requests whose callers have left.
	CallerGone Property = "gone"
	// PlannedWork: work that operators plan does not cut off any request.
	PlannedWork Property = "planned-stop"
	// ConfigInForce: entry VMs use an accepted configuration within maxConfigDelay.
	ConfigInForce Property = "in-force"
	// NoConfigRevert: an entry VM does not return to an older configuration during one
	// incarnation.
	NoConfigRevert Property = "no-revert"
	// Recovery: requests are served again after the last fault.
	Recovery Property = "recovery"
	// ProcessAlive: no process of an entry VM ends unexpectedly or logs a failure mark, and
	// the soak itself has no errors.
	ProcessAlive Property = "alive"
	// CrashesContained: a request that keeps crashing servers no longer reaches them.
	CrashesContained Property = "crashes"
	// SoundServed: a request that crashes no server is not refused as one that does.
	SoundServed Property = "sound"
	// ServerLimit: a server gets no more requests than the rate limit that it announced.
	ServerLimit Property = "limit"
	// ServerBackoff: an entry VM honors the backoff that a server requested from it.
	ServerBackoff Property = "rest"
	// FragileServers: servers that fail once they have to refuse too much seldom have to.
	FragileServers Property = "fragile"
)

// Timed reports whether checking the property compares times, which a shared machine may
// stretch.
func (p Property) Timed() bool {
	switch p {
	case LeavingServer, ClosedDomain, CallerGone, ConfigInForce, Recovery, PlannedWork, CrashesContained, ServerLimit, ServerBackoff, FragileServers:
		return true
	}
	return false
}

// Violation is one case in which a property did not hold.
type Violation struct {
	Property Property      `json:"property"`
	Request  api.RequestID `json:"request,omitempty"`
	At       time.Time     `json:"at"`
	What     string        `json:"what"`
}

const (
	// recoveryTime is how long an entry VM may take to recover from a fault: the operators
	// allow 3 s.
	recoveryTime = 3 * time.Second
	// maxLeaveDelay is how long after its leave notice a server may still get new
	// requests: the operators allow 2 s, which is doubled for shared machines.
	maxLeaveDelay = 4 * time.Second
	// maxClosureDelay is how long after its closure a failure domain may still get new
	// requests.
	maxClosureDelay = closureDelay
	// maxConfigDelay is how long after a new configuration is accepted an entry VM may
	// still use an older one: the operators allow 2 s, which is doubled as well.
	maxConfigDelay = 4 * time.Second
	// maxAbandonedWork is how long a server may keep working for a caller that has left.
	maxAbandonedWork = 2 * time.Second
	// maxConcurrentRun is how long two servers may execute the same run at the same time.
	maxConcurrentRun = 400 * time.Millisecond
	// minServedShare is the minimum share of requests that is served after the last fault.
	minServedShare = 0.9
)

// checker holds a record with its indexes by request ID, and collects violations.
type checker struct {
	Record
	// requestsByID holds the requests with an ID in the order in which they were sent.
	requestsByID map[api.RequestID][]*SentRequest
	runsByID     map[api.RequestID][]hosted.Run
	violations   []Violation
}

// Check returns the violations that a record shows.
func Check(r Record) []Violation {
	c := &checker{Record: r, requestsByID: map[api.RequestID][]*SentRequest{}, runsByID: map[api.RequestID][]hosted.Run{}}
	for i := range r.Requests {
		s := &r.Requests[i]
		c.requestsByID[s.ID] = append(c.requestsByID[s.ID], s)
	}
	for _, l := range c.requestsByID {
		slices.SortStableFunc(l, func(a, b *SentRequest) int { return a.At.Compare(b.At) })
	}
	for _, x := range r.Runs {
		c.runsByID[x.RequestID] = append(c.runsByID[x.RequestID], x)
	}
	for _, a := range r.Arrivals {
		c.checkArrival(a)
	}
	for i := range r.Requests {
		c.checkReply(&r.Requests[i])
		c.checkSoundServed(&r.Requests[i])
	}
	c.checkTries()
	c.checkVersions()
	c.checkCrashesContained()
	c.checkSignals()
	c.checkRecovery()
	for _, p := range r.FragilePeriods {
		c.checkFragilePeriod(p)
	}
	for _, d := range r.Failures {
		c.addViolation(ProcessAlive, "", r.End, d)
	}
	return c.violations
}

// requestAt returns the request with an ID that was sent last before a time; it reports false if there is none
// with the ID.
func (c *checker) requestAt(id api.RequestID, at time.Time) (*SentRequest, bool) {
	l := c.requestsByID[id]
	if len(l) == 0 {
		return nil, false
	}
	s := l[0]
	for _, x := range l[1:] {
		if !x.At.After(at) {
			s = x
		}
	}
	return s, true
}

// runsOf returns the runs of a request. One that was repeated with its ID has those until the repeat was sent.
func (c *checker) runsOf(s *SentRequest) []hosted.Run {
	var l []hosted.Run
	for _, r := range c.runsByID[s.ID] {
		if x, _ := c.requestAt(s.ID, r.Started); x == s {
			l = append(l, r)
		}
	}
	return l
}

func (c *checker) addViolation(p Property, id api.RequestID, at time.Time, what string) {
	c.violations = append(c.violations, Violation{Property: p, Request: id, At: at, What: what})
}

// unplannedFaultDuring reports whether an unplanned fault affected an entry VM or a server
// during a span or within recoveryTime before it. With an empty server name, a fault of
// any server counts.
func (c *checker) unplannedFaultDuring(s Span, vm int, server api.ServerName) bool {
	return c.faultDuring(s, vm, server, func(k Kind) bool { return !k.Planned() })
}

// faultDuring reports whether a fault of one of the counted kinds affected an entry VM or a server, as
// unplannedFaultDuring does.
func (c *checker) faultDuring(s Span, vm int, server api.ServerName, counts func(k Kind) bool) bool {
	s.From = s.From.Add(-recoveryTime)
	return slices.ContainsFunc(c.Injections, func(t Injection) bool {
		affected := t.VM == All || t.VM == vm || t.Server != "" && (server == "" || t.Server == server)
		return affected && counts(t.Kind) && t.overlaps(s)
	})
}

// excusesConcurrentRun reports whether a fault of a kind may keep an entry VM from having a server stop a run
// before it continues elsewhere. An entry VM that reaches a server which has lost a stream has to.
func excusesConcurrentRun(k Kind) bool {
	return !k.Planned() && k != LoseStreams && k != LoseAnswers && k != ReplaceServers && k != DuplicateAnswers
}

// restartedDuring reports whether an entry VM was stopped or started during a span or
// within recoveryTime before it.
func (c *checker) restartedDuring(s Span, vm int) bool {
	s.From = s.From.Add(-recoveryTime)
	return slices.ContainsFunc(c.Injections, func(t Injection) bool {
		return t.VM == vm && t.Kind == StopVM && t.overlaps(s)
	})
}

// checkArrival checks a request that arrived at a server.
func (c *checker) checkArrival(a hosted.Arrival) {
	s, ok := c.requestAt(a.ID, a.At)
	if !ok {
		c.addViolation(IntactRequest, a.ID, a.At, "a server got a request that no caller sent")
		return
	}
	if a.Method != s.Method || a.Target != s.Target || a.Body != s.Call.Body || a.Workspace != s.Workspace {
		c.addViolation(IntactRequest, a.ID, a.At, "a request was changed in transit, or arrived for another workspace")
	}
	if !slices.Contains(c.PathServices[routeOf(s.Target)], c.ServerServices[a.Server]) {
		c.addViolation(IntactRequest, a.ID, a.At, "no configuration routes the request to the service of "+string(a.Server))
	}
	if a.Refused {
		return
	}
	c.checkClosedDomain(a, s)
	if a.ResumeFrom != "" {
		return
	}
	for _, l := range c.LeaveNotices {
		if l.Server == a.Server && a.At.Sub(l.At) > maxLeaveDelay && !c.unplannedFaultDuring(Span{l.At, a.At}, s.VM, "") {
			c.addViolation(LeavingServer, a.ID, a.At, fmt.Sprintf("server %s got a new request %s after its leave notice", a.Server, a.At.Sub(l.At)))
		}
	}
}

// checkClosedDomain checks that no new request arrived in a closed failure domain;
// resuming from a backup copy there counts as new.
func (c *checker) checkClosedDomain(a hosted.Arrival, s *SentRequest) {
	for _, l := range c.Closures {
		if l.Domain == c.ServerDomains[a.Server] && a.At.Before(l.Until) && a.At.Sub(l.From) > maxClosureDelay && !c.unplannedFaultDuring(Span{l.From, a.At}, s.VM, "") {
			c.addViolation(ClosedDomain, a.ID, a.At, fmt.Sprintf("server %s got a request %s after its domain was closed", a.Server, a.At.Sub(l.From)))
		}
	}
}

// routeOf returns the first segment of a path, which identifies its route.
func routeOf(target string) string {
	p, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "/")
	return p
}

// checkReply checks what a caller received.
func (c *checker) checkReply(s *SentRequest) {
	r := c.runsOf(s)
	if s.Kind != directory.Safe {
		c.checkSingleRun(s, r)
	}
	if len(r) > 0 && s.Kind != directory.Safe && meansNotRun(s.Status) {
		c.addViolation(RefusedNotRun, s.ID, s.Done, "refused with status "+strconv.Itoa(s.Status)+" although a server ran it")
	}
	if s.Status == http.StatusOK {
		c.checkAnswer(s, r)
	}
	c.checkCallerGone(s, r)
	c.checkPlannedWork(s, r)
}

// meansNotRun reports whether a status means that the request has not run and will not
// run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkSingleRun checks that a request ran as one generation, on one server at a time.
func (c *checker) checkSingleRun(s *SentRequest, r []hosted.Run) {
	for i, a := range r {
		for _, b := range r[i+1:] {
			if a.Generation != b.Generation {
				c.addViolation(SingleRun, s.ID, b.Started, fmt.Sprintf("ran at %s and again at %s", a.Server, b.Server))
			}
			both := Span{later(a.Started, b.Started), earlier(c.endOf(a), c.endOf(b))}
			if both.Until.Sub(both.From) > maxConcurrentRun && !c.faultDuring(both, s.VM, "", excusesConcurrentRun) {
				c.addViolation(SingleRun, s.ID, b.Started, fmt.Sprintf("%s and %s ran it at the same time", a.Server, b.Server))
			}
		}
	}
}

// checkTries checks that of the requests by which a caller tries the same work again, only one ran. A caller
// repeats what may run once only if it was told that it has not run.
func (c *checker) checkTries() {
	ran := map[api.RequestID]*SentRequest{}
	for i := range c.Requests {
		s := &c.Requests[i]
		if s.Kind == directory.Safe || len(c.runsOf(s)) == 0 {
			continue
		}
		if x := ran[s.firstOfTry()]; x != nil {
			c.addViolation(SingleRun, s.ID, s.Done, fmt.Sprintf("ran, and so did %s of the same try, answered with status %d", x.ID, x.Status))
			continue
		}
		ran[s.firstOfTry()] = s
	}
}

func (c *checker) endOf(r hosted.Run) time.Time {
	if r.Ended.IsZero() {
		return c.End
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

// checkAnswer checks that a successful answer comes from a server and is intact.
func (c *checker) checkAnswer(s *SentRequest, r []hosted.Run) {
	if !s.Signed || len(r) == 0 {
		c.addViolation(IntactAnswer, s.ID, s.Done, "a successful answer that no server sent")
		return
	}
	if s.Kind == directory.Stream {
		c.checkEvents(s, r)
		return
	}
	if !s.Complete {
		return
	}
	if !slices.ContainsFunc(r, func(x hosted.Run) bool { return s.Reply.Body == hosted.PlainBody(s.ID, x.Server) }) {
		c.addViolation(IntactAnswer, s.ID, s.Done, "the answer is incomplete or belongs to another request")
	}
}

// checkEvents checks that a stream has every event once, in order, and of one generation.
func (c *checker) checkEvents(s *SentRequest, r []hosted.Run) {
	for i, e := range s.Events {
		if want := fmt.Sprintf("%s %d %d", s.ID, r[0].Generation, i+1); e != want {
			c.addViolation(IntactAnswer, s.ID, s.Done, fmt.Sprintf("got event %q, want %q", e, want))
			return
		}
	}
	if want := int(s.Tokens) / hosted.TokensPerEvent; s.Complete && len(s.Events) != want {
		c.addViolation(IntactAnswer, s.ID, s.Done, fmt.Sprintf("ended after %d of %d events", len(s.Events), want))
	}
}

// checkCallerGone checks that servers stop working for callers that have left.
func (c *checker) checkCallerGone(s *SentRequest, r []hosted.Run) {
	if !s.Left {
		return
	}
	for _, x := range r {
		if e := c.endOf(x); e.Sub(s.Done) > maxAbandonedWork && !c.unplannedFaultDuring(Span{s.Done, e}, s.VM, x.Server) {
			c.addViolation(CallerGone, s.ID, e, fmt.Sprintf("%s kept working for %s after the caller had left", x.Server, e.Sub(s.Done)))
		}
	}
}

// checkPlannedWork checks that a request is not cut off unless an unplanned fault affected
// it.
func (c *checker) checkPlannedWork(s *SentRequest, r []hosted.Run) {
	served := s.Left || s.Complete && (s.Status == http.StatusOK || meansNotRun(s.Status))
	if served || len(r) == 0 || c.unplannedFaultDuring(Span{s.At, s.Done}, s.VM, "") {
		return
	}
	what := fmt.Sprintf("answered with status %d and cut off although no unplanned fault affected it: %v", s.Status, s.Err)
	if s.Kind == directory.Stream {
		what += fmt.Sprintf(", after %d of %d events", len(s.Events), int(s.Tokens)/hosted.TokensPerEvent)
	}
	c.addViolation(PlannedWork, s.ID, s.Done, what)
}

// checkVersions checks which configuration versions the entry VMs used.
func (c *checker) checkVersions() {
	type incarnation struct{ vm, number int }
	newest := map[incarnation]int64{}
	for _, p := range c.Probes {
		k := incarnation{p.VM, p.Incarnation}
		if p.BeforeVersion > 0 && p.BeforeVersion <= newest[k] {
			c.addViolation(NoConfigRevert, "", p.At, fmt.Sprintf("VM %d used a configuration before version %d after it had used version %d", p.VM, p.BeforeVersion, newest[k]))
		}
		newest[k] = max(newest[k], p.FromVersion)
		at, ok := c.ConfigTimes[p.BeforeVersion]
		if ok && p.At.Sub(at) > maxConfigDelay && !c.unplannedFaultDuring(Span{at, p.At}, p.VM, "") && !c.restartedDuring(Span{at, p.At}, p.VM) {
			c.addViolation(ConfigInForce, "", p.At, fmt.Sprintf("VM %d used a configuration before version %d, %s after that version was accepted", p.VM, p.BeforeVersion, p.At.Sub(at)))
		}
	}
}

// unknownStatus reports whether a status is the right answer to a probe of a key or a path that is not configured.
func unknownStatus(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusNotFound
}

// checkRecovery checks that requests are served once recoveryTime has passed since the
// last fault.
func (c *checker) checkRecovery() {
	n, served := 0, 0
	for _, s := range c.Requests {
		if s.At.Sub(c.CalmSince) < recoveryTime {
			continue
		}
		n++
		if s.served() || s.Left || s.Complete && unknownStatus(s.Status) {
			served++
		}
	}
	if float64(served) < minServedShare*float64(n) || n == 0 {
		c.addViolation(Recovery, "", c.End, fmt.Sprintf("%d of %d requests were served after the last fault", served, n))
	}
}
