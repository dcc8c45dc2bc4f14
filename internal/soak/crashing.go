package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/directory"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/standin/hosted"
	"github.com/wardridge/wardridge/internal/upstream"
)

const (
	// meanCrashRetryPause is the mean pause between a caller's retries of a crashing
	// request, and crashRetryTime how long the retries continue after the end of the
	// fault: by then the entry VMs have to recognize the request.
	meanCrashRetryPause = 400 * time.Millisecond
	crashRetryTime      = 5 * time.Second
	// maxCrashingRequests is how many crashing requests may still reach servers when
	// recoveryTime has passed since crash bodyCrashes under the same body, or partCrashes under
	// the same part of their prompts.
	maxCrashingRequests = 3
	bodyCrashes         = 3
	partCrashes         = 5
)

// crashingRoutes are the routes that crashing requests use.
var crashingRoutes = []struct {
	path string
	kind directory.Kind
}{{pathChat, directory.Stream}, {pathOrders, directory.Unsafe}, {pathParts, directory.Safe}}

// repeatCrashingRequest repeatedly sends a request that crashes servers, each time to any
// entry VM.
func (b *testbed) repeatCrashingRequest(ctx context.Context, f Fault) {
	body := fmt.Sprintf("deadly %d %d", f.At, f.Target)
	b.crashOn(body)
	b.sendCrashing(ctx, f, func(int) hosted.Call { return hosted.Call{Body: body} })
}

// sendCrashingPart sends different requests to any entry VM. A part of their prompts crashes
// servers; their first parts are those of sound requests.
func (b *testbed) sendCrashingPart(ctx context.Context, f Fault) {
	part := fmt.Sprintf("dead%08x%08x", uint32(f.At), uint32(f.Target))
	b.crashOn(part)
	b.sendCrashing(ctx, f, func(n int) hosted.Call {
		return hosted.Call{Body: fmt.Sprintf("%s %d", part, n), Parts: []string{firstPart(n), part}}
	})
}

// crashOn makes requests with a body, or with a part of their prompts, crash the servers that run them.
func (b *testbed) crashOn(cause string) {
	b.recorder.update(func(r *Record) { r.CrashTimes[cause] = nil })
	b.fleet.CrashOn(cause, b.handleCrash)
}

// firstParts is the number of first parts that prompts share.
const firstParts = 4

// firstPart returns the first part of the prompt of request n.
func firstPart(n int) string { return fmt.Sprintf("a%d", n%firstParts) }

// sendCrashing sends calls, each to any entry VM, with the body and parts that content returns for
// it.
func (b *testbed) sendCrashing(ctx context.Context, f Fault, content func(n int) hosted.Call) {
	d := &net.Dialer{Timeout: time.Second}
	p, closer := upstream.New(d.DialContext)
	defer closer()
	c := hosted.NewCaller(b.Wire, p)
	r := rand.New(rand.NewPCG(uint64(f.At), uint64(f.Target)))
	x := crashingRoutes[f.Target%len(crashingRoutes)]
	end := time.Now().Add(f.For.Duration() + crashRetryTime)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		v := b.chooseVM(r)
		s := SentRequest{VM: v.index, Kind: x.kind, Workspace: mainWorkspace, Call: content(n)}
		s.ID, s.Method, s.Host = api.RequestID(fmt.Sprintf("d%d-%d-%d", f.At, f.Target, n)), http.MethodPost, host
		s.Target, s.Key, s.Wait = "/"+x.path+"/deadly", mainKey, callTimeout
		if x.kind == directory.Stream {
			s.Tokens = hosted.TokensPerEvent * maxStreamEvents
		}
		s.At = time.Now()
		s.Reply = c.Do(context.WithoutCancel(ctx), v.callerProxy.address(), s.Call)
		s.Done = time.Now()
		b.recorder.update(func(y *Record) { y.Requests = append(y.Requests, s) })
		duty.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(meanCrashRetryPause)))
	}
}

// handleCrash records that a crashing request has crashed a server, and starts a
// replacement when the entry of the crashed server has expired.
func (b *testbed) handleCrash(x *hosted.Server, cause string) {
	for _, s := range b.servers {
		if instance, _ := s.current(); instance != x {
			continue
		}
		f := Fault{Kind: CrashServer, Target: s.index}
		now := time.Now()
		b.recorder.update(func(r *Record) {
			r.CrashTimes[cause] = append(r.CrashTimes[cause], now)
			r.Injections = append(r.Injections, Injection{Fault: f, VM: noVM, Server: x.Name, Span: Span{From: now, Until: now.Add(entryExpiry)}})
		})
		b.group.Go(func(ctx context.Context) error {
			duty.Sleep(ctx, entryExpiry)
			b.recordError(x.Unregister())
			b.recordError(b.startServer(s, x, newName))
			return nil
		})
	}
}

// checkCrashesContained checks that a request that crashes servers stops reaching them.
func (c *checker) checkCrashesContained() {
	late := map[string]int{}
	for _, a := range c.Arrivals {
		c.countLateCrash(late, a, a.Body, bodyCrashes)
		for _, p := range a.Parts {
			c.countLateCrash(late, a, p, partCrashes)
		}
	}
}

// countLateCrash counts an arrival with a cause of crashes that came too late after crash n.
func (c *checker) countLateCrash(late map[string]int, a hosted.Arrival, cause string, n int) {
	l := c.CrashTimes[cause]
	s, ok := c.requestAt(a.ID, a.At)
	if !ok || a.Refused || len(l) < n || a.At.Sub(l[n-1]) <= recoveryTime || c.vmFaultDuring(Span{l[n-1], a.At}, s.VM) {
		return
	}
	late[cause]++
	if late[cause] == maxCrashingRequests+1 {
		c.addViolation(CrashesContained, a.ID, a.At, fmt.Sprintf("%s reached servers %d more times, %s after its crash %d; %d crashes in total", cause, late[cause], a.At.Sub(l[n-1]), n, len(l)))
	}
}

// checkSoundServed checks that a request which crashes no server is not refused as one that does.
func (c *checker) checkSoundServed(s *SentRequest) {
	if s.Signed || !strings.Contains(s.Reply.Body, quarantinedType) || c.crashes(s.Call) {
		return
	}
	c.addViolation(SoundServed, s.ID, s.Done, "the request crashes no server and was refused as one that does")
}

// quarantinedType is the type of a refusal in the answer to a caller.
const quarantinedType = "quarantined"

// crashes reports whether a call crashes the servers that run it.
func (c *checker) crashes(x hosted.Call) bool {
	_, ok := c.CrashTimes[x.Body]
	for _, p := range x.Parts {
		_, deadly := c.CrashTimes[p]
		ok = ok || deadly
	}
	return ok
}

// vmFaultDuring reports whether an unplanned fault affected the entry VM itself during a
// span or within recoveryTime before it.
func (c *checker) vmFaultDuring(s Span, vm int) bool {
	s.From = s.From.Add(-recoveryTime)
	for _, t := range c.Injections {
		if (t.VM == All || t.VM == vm) && !t.Kind.Planned() && t.overlaps(s) {
			return true
		}
	}
	return false
}
