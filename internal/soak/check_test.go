package soak_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/soak"
	"github.com/wardridge/wardridge/internal/standin/hosted"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// validRecord returns a record without violations: one order, one stream that moved to
// another server, and two probes.
func validRecord() soak.Record {
	order := soak.SentRequest{
		Call:  hosted.Call{ID: "o", Method: "POST", Target: "/orders/o", Body: "b"},
		Reply: hosted.Reply{Head: hosted.Head{Status: 200, Signed: true}, Complete: true, Body: hosted.PlainBody("o", "p1")},
		Kind:  directory.Unsafe, Workspace: "main", At: at(10000), Done: at(10050),
	}
	chat := soak.SentRequest{
		Call:  hosted.Call{ID: "c", Method: "POST", Target: "/chat/c", Tokens: 2 * hosted.TokensPerEvent},
		Reply: hosted.Reply{Head: hosted.Head{Status: 200, Signed: true}, Complete: true, Events: []string{"c 2 1", "c 2 2"}},
		Kind:  directory.Stream, Workspace: "main", At: at(10000), Done: at(10900),
	}
	return soak.Record{
		Requests: []soak.SentRequest{order, chat},
		Probes:   []soak.Probe{{VM: 0, Incarnation: 1, At: at(9000), FromVersion: 1, BeforeVersion: 2}, {VM: 0, Incarnation: 1, At: at(10000), FromVersion: 2}},
		Arrivals: []hosted.Arrival{
			{At: at(10010), Server: "p1", Request: hosted.Request{ID: "o", Method: "POST", Target: "/orders/o", Body: "b", Workspace: "main"}},
			{At: at(10010), Server: "e1", Request: hosted.Request{ID: "c", Method: "POST", Target: "/chat/c", Workspace: "main"}},
			{At: at(10500), Server: "e2", Request: hosted.Request{ID: "c", Method: "POST", Target: "/chat/c", Workspace: "main", ResumeFrom: "c-c"}},
		},
		Runs: []hosted.Run{
			{RequestID: "o", Server: "p1", Generation: 1, Started: at(10010), Ended: at(10040)},
			{RequestID: "c", Server: "e1", Generation: 2, Started: at(10010), Ended: at(10480)},
			{RequestID: "c", Server: "e2", Generation: 2, Started: at(10500), Ended: at(10890)},
		},
		ConfigTimes:    map[int64]time.Time{1: at(0), 2: at(8500)},
		PathServices:   map[string][]api.ServiceName{"orders": {"plain"}, "chat": {"engines"}},
		ServerServices: map[api.ServerName]api.ServiceName{"p1": "plain", "e1": "engines", "e2": "engines"},
		ServerDomains:  map[api.ServerName]api.DomainName{"p1": "x", "e1": "x", "e2": "y"},
		CalmSince:      at(5000), End: at(20000),
	}
}

// oneClosure returns one closure of a failure domain.
func oneClosure(d api.DomainName, from, until int) []soak.Closure {
	return []soak.Closure{{Domain: d, Span: soak.Span{From: at(from), Until: at(until)}}}
}

func TestCheckReportsViolations(t *testing.T) {
	// addServed adds enough other requests that are served that recovery is not violated as well.
	addServed := func(r *soak.Record) {
		for range 20 {
			r.Requests = append(r.Requests, soak.SentRequest{Call: hosted.Call{ID: "l"}, Reply: hosted.Reply{Left: true}, Kind: directory.Safe, At: at(12000), Done: at(12001)})
		}
	}
	cutOff := func(r *soak.Record) {
		r.Requests[1].Complete, r.Requests[1].Events = false, r.Requests[1].Events[:1]
		addServed(r)
	}
	injection := func(k soak.Kind, vm int) soak.Injection {
		return soak.Injection{Fault: soak.Fault{Kind: k}, VM: vm, Span: soak.Span{From: at(9500), Until: at(9900)}}
	}
	tests := []struct {
		name   string
		change func(r *soak.Record)
		want   soak.Property
	}{
		{"no violation", func(*soak.Record) {}, ""},
		{"request ran twice", func(r *soak.Record) {
			r.Runs = append(r.Runs, hosted.Run{RequestID: "o", Server: "p1", Generation: 9, Started: at(10045), Ended: at(10050)})
		}, soak.SingleRun},
		{"two servers run it at the same time", func(r *soak.Record) { r.Runs[1].Ended = at(11100); r.Runs[2].Ended = at(11200) }, soak.SingleRun},
		{"signed promise although it ran", func(r *soak.Record) {
			r.Requests[0].Status = 429
			addServed(r)
		}, soak.RefusedNotRun},
		{"repeated after it ran", func(r *soak.Record) {
			x := r.Requests[0]
			x.ID, x.Try, x.Reply.Body = "o-r1", "o", hosted.PlainBody("o-r1", "p1")
			r.Requests = append(r.Requests, x)
			r.Runs = append(r.Runs, hosted.Run{RequestID: "o-r1", Server: "p1", Generation: 9, Started: at(10060), Ended: at(10070)})
		}, soak.SingleRun},
		{"repeated with its ID after it was refused", func(r *soak.Record) {
			x := r.Requests[0]
			x.Try, x.At, x.Done = x.ID, at(9000), at(9010)
			x.Reply = hosted.Reply{Head: hosted.Head{Status: 503}, Complete: true}
			r.Requests = append(r.Requests, x)
			addServed(r)
		}, ""},
		{"repeated with its ID and ran twice", func(r *soak.Record) {
			x := r.Requests[0]
			x.Try, x.At, x.Done = x.ID, at(9000), at(9010)
			r.Requests = append(r.Requests, x)
			r.Runs = append(r.Runs, hosted.Run{RequestID: x.ID, Server: "p1", Generation: 9, Started: at(9002), Ended: at(9005)})
		}, soak.SingleRun},
		{"ran and refused, and then repeated with its ID", func(r *soak.Record) {
			x := r.Requests[0]
			x.Try, x.At, x.Done = x.ID, at(10060), at(10070)
			r.Requests[0].Reply = hosted.Reply{Head: hosted.Head{Status: 503}, Complete: true}
			x.Reply = hosted.Reply{Head: hosted.Head{Status: 503}, Complete: true}
			r.Requests = append(r.Requests, x)
			addServed(r)
		}, soak.RefusedNotRun},
		{"refused as not run although it ran", func(r *soak.Record) {
			r.Requests[0].Status, r.Requests[0].Signed = 503, false
			addServed(r)
		}, soak.RefusedNotRun},
		{"refused and did not run", func(r *soak.Record) {
			r.Requests[0].Status, r.Requests[0].Signed, r.Runs, r.Arrivals = 503, false, r.Runs[1:], r.Arrivals[1:]
			addServed(r)
		}, ""},
		{"all refused after the last fault", func(r *soak.Record) {
			r.Requests[0].Status, r.Requests[0].Signed, r.Runs, r.Arrivals = 503, false, r.Runs[1:], r.Arrivals[1:]
		}, soak.Recovery},
		{"answer of another request", func(r *soak.Record) { r.Requests[0].Reply.Body = hosted.PlainBody("x", "p1") }, soak.IntactAnswer},
		{"truncated answer", func(r *soak.Record) { r.Requests[0].Reply.Body = "o by" }, soak.IntactAnswer},
		{"successful answer that no server sent", func(r *soak.Record) { r.Requests[0].Signed = false }, soak.IntactAnswer},
		{"missing event", func(r *soak.Record) { r.Requests[1].Events = []string{"c 2 2"} }, soak.IntactAnswer},
		{"duplicate event", func(r *soak.Record) { r.Requests[1].Events = []string{"c 2 1", "c 2 1"} }, soak.IntactAnswer},
		{"event of another run", func(r *soak.Record) { r.Requests[1].Events = []string{"c 2 1", "c 3 2"} }, soak.IntactAnswer},
		{"stream that ends early but looks complete", func(r *soak.Record) { r.Requests[1].Events = []string{"c 2 1"} }, soak.IntactAnswer},
		{"request that no caller sent", func(r *soak.Record) { r.Arrivals[0].ID = "x" }, soak.IntactRequest},
		{"request with a changed body", func(r *soak.Record) { r.Arrivals[0].Body = "x" }, soak.IntactRequest},
		{"request for another workspace", func(r *soak.Record) { r.Arrivals[0].Workspace = "x" }, soak.IntactRequest},
		{"request at another service", func(r *soak.Record) { r.Arrivals[0].Server = "e1" }, soak.IntactRequest},
		{"new request long after the leave notice", func(r *soak.Record) { r.LeaveNotices = []soak.LeaveNotice{{Server: "p1", At: at(4000)}} }, soak.LeavingServer},
		{"new request just after the leave notice", func(r *soak.Record) { r.LeaveNotices = []soak.LeaveNotice{{Server: "p1", At: at(9000)}} }, ""},
		{"a run that resumes at another server is not a new request", func(r *soak.Record) { r.LeaveNotices = []soak.LeaveNotice{{Server: "e2", At: at(4000)}} }, ""},
		{"new request in a domain closed long before", func(r *soak.Record) { r.Closures = oneClosure("x", 4000, 20000) }, soak.ClosedDomain},
		{"resuming from a backup copy in a closed domain is a new request", func(r *soak.Record) { r.Closures = oneClosure("y", 4000, 20000) }, soak.ClosedDomain},
		{"new request in a domain just closed", func(r *soak.Record) { r.Closures = oneClosure("x", 9000, 20000) }, ""},
		{"new request in a domain that is open again", func(r *soak.Record) { r.Closures = oneClosure("x", 1000, 9900) }, ""},
		{"new request in another domain than the closed one", func(r *soak.Record) { r.Closures = oneClosure("z", 1000, 20000) }, ""},
		{"server works on after the caller left", func(r *soak.Record) {
			r.Requests[1].Left, r.Requests[1].Complete, r.Runs[2].Ended = true, false, at(15000)
		}, soak.CallerGone},
		{"cut off during planned work alone", func(r *soak.Record) {
			cutOff(r)
			r.Injections = []soak.Injection{injection(soak.StopVM, 0)}
		}, soak.PlannedWork},
		{"cut off by a kill of the VM", func(r *soak.Record) {
			cutOff(r)
			r.Injections = []soak.Injection{injection(soak.KillVM, 0)}
		}, ""},
		{"a kill of another VM does not excuse a cut-off", func(r *soak.Record) {
			cutOff(r)
			r.Injections = []soak.Injection{injection(soak.KillVM, 1)}
		}, soak.PlannedWork},
		{"older version after a newer one", func(r *soak.Record) { r.Probes[0], r.Probes[1] = r.Probes[1], r.Probes[0] }, soak.NoConfigRevert},
		{"older version in another incarnation", func(r *soak.Record) {
			r.Probes[0], r.Probes[1] = r.Probes[1], r.Probes[0]
			r.Probes[1].Incarnation = 2
		}, ""},
		{"old version for too long", func(r *soak.Record) { r.Probes[0].At = at(13000); r.Probes[1].At = at(13500) }, soak.ConfigInForce},
		{"not served after the last fault", func(r *soak.Record) {
			r.Requests[0].Complete, r.Requests[1].Complete = false, false
			r.Injections = []soak.Injection{injection(soak.KillVM, 0)}
		}, soak.Recovery},
		{"process that ended unexpectedly", func(r *soak.Record) { r.Failures = []string{"vm-1"} }, soak.ProcessAlive},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := validRecord()
			c.change(&r)
			var got soak.Property
			for _, v := range soak.Check(r) {
				got = v.Property
			}
			if got != c.want {
				t.Errorf("got %q, want %q: %v", got, c.want, soak.Check(r))
			}
		})
	}
}

// Guards against a check that misses a request that keeps crashing servers: once every
// entry VM has had the time to learn of the third crash, three more such requests may
// reach servers, a fourth may not.
func TestCheckReportsUncontainedCrashes(t *testing.T) {
	r := soak.Record{CrashTimes: map[string][]time.Time{"deadly": {at(1000), at(2000), at(3000)}}, CalmSince: at(0), End: at(60000)}
	for i := range 5 {
		s := soak.SentRequest{VM: 0, Kind: directory.Unsafe, Call: hosted.Call{ID: api.RequestID(strconv.Itoa(i)), Body: "deadly", Target: "/orders/x"}, At: at(5000 + 1000*i)}
		s.Complete = true
		r.Requests = append(r.Requests, s)
	}
	crashViolations := func(n int) []soak.Violation {
		x := r
		x.PathServices = map[string][]api.ServiceName{"orders": {"plain"}}
		x.ServerServices = map[api.ServerName]api.ServiceName{"p": "plain"}
		for i := range n {
			x.Arrivals = append(x.Arrivals, hosted.Arrival{Request: hosted.Request{ID: api.RequestID(strconv.Itoa(i)), Body: "deadly", Target: "/orders/x"}, Server: "p", At: at(6500 + 1000*i)})
		}
		var l []soak.Violation
		for _, v := range soak.Check(x) {
			if v.Property == soak.CrashesContained {
				l = append(l, v)
			}
		}
		return l
	}
	if l := crashViolations(3); len(l) != 0 {
		t.Errorf("three late requests: got %v, want no violation", l)
	}
	if l := crashViolations(5); len(l) != 1 {
		t.Errorf("five late requests: got %v, want one violation", l)
	}
	r.Injections = []soak.Injection{{Fault: soak.Fault{Kind: soak.PauseVM}, VM: 0, Span: soak.Span{From: at(5000), Until: at(20000)}}}
	if l := crashViolations(5); len(l) != 0 {
		t.Errorf("five late requests at a paused entry VM: got %v, want no violation", l)
	}
}

// Requests with a part that crashes servers are bounded from the fifth crash under it, whatever
// their bodies.
func TestCheckReportsUncontainedCrashesUnderPart(t *testing.T) {
	r := soak.Record{
		CrashTimes: map[string][]time.Time{"dead": {at(0), at(500), at(1000), at(2000), at(3000)}}, CalmSince: at(0), End: at(60000),
		PathServices: map[string][]api.ServiceName{"chat": {"engines"}}, ServerServices: map[api.ServerName]api.ServiceName{"p": "engines"},
	}
	for i := range 5 {
		id, body := api.RequestID(strconv.Itoa(i)), strconv.Itoa(i)
		s := soak.SentRequest{Kind: directory.Unsafe, Call: hosted.Call{ID: id, Body: body, Target: "/chat/x", Parts: []string{"a0", "dead"}}, At: at(5000 + 1000*i)}
		s.Complete = true
		r.Requests = append(r.Requests, s)
		r.Arrivals = append(r.Arrivals, hosted.Arrival{Request: hosted.Request{ID: id, Body: body, Target: "/chat/x", Parts: s.Parts}, Server: "p", At: at(6500 + 1000*i)})
	}
	count := func(p soak.Property) int {
		n := 0
		for _, v := range soak.Check(r) {
			if v.Property == p {
				n++
			}
		}
		return n
	}
	if got := count(soak.CrashesContained); got != 1 {
		t.Errorf("five late requests: got %d violations, want 1", got)
	}
	r.Arrivals = r.Arrivals[:3]
	if got := count(soak.CrashesContained); got != 0 {
		t.Errorf("three late requests: got %d violations, want none", got)
	}
}

func TestCheckReportsSoundRequestsRefusedAsCrashing(t *testing.T) {
	r := soak.Record{CrashTimes: map[string][]time.Time{"dead": {at(0)}}, CalmSince: at(0), End: at(60000)}
	refused := hosted.Reply{Head: hosted.Head{Status: 503}, Body: `{"error":{"type":"quarantined"}}`, Complete: true}
	r.Requests = []soak.SentRequest{{Call: hosted.Call{ID: "deadly", Parts: []string{"a0", "dead"}}, Reply: refused}}
	sound := func() int {
		n := 0
		for _, v := range soak.Check(r) {
			if v.Property == soak.SoundServed {
				n++
			}
		}
		return n
	}
	if got := sound(); got != 0 {
		t.Errorf("request that crashes servers: got %d violations, want none", got)
	}
	r.Requests = append(r.Requests, soak.SentRequest{Call: hosted.Call{ID: "sound", Parts: []string{"a0", "b0"}}, Reply: refused})
	if got := sound(); got != 1 {
		t.Errorf("sound request: got %d violations, want 1", got)
	}
}
