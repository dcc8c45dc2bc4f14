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
	// meanCrashRetryPause is the mean pause between a caller's retries of a crashing
	// request, and crashRetryTime how long the retries continue after the end of the
	// fault: by then the entry VMs have to recognize the request.
	meanCrashRetryPause = 400 * time.Millisecond
	crashRetryTime      = 5 * time.Second
	// maxCrashingRequests is how many crashing requests may still reach servers when
	// recoveryTime has passed since the third crash.
	maxCrashingRequests = 3
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
	b.fleet.CrashOnBody(body, b.handleCrash)
	d := &net.Dialer{Timeout: time.Second}
	p, closer := upstream.New(d.DialContext)
	defer closer()
	c := hosted.NewCaller(b.Wire, p)
	r := rand.New(rand.NewPCG(uint64(f.At), uint64(f.Target)))
	x := crashingRoutes[f.Target%len(crashingRoutes)]
	end := time.Now().Add(f.For.Duration() + crashRetryTime)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		v := b.chooseVM(r)
		s := SentRequest{VM: v.index, Kind: x.kind, Workspace: mainWorkspace, Call: hosted.Call{
			ID: api.RequestID(fmt.Sprintf("d%d-%d-%d", f.At, f.Target, n)), Method: http.MethodPost, Host: host, Target: "/" + x.path + "/" + body[:6],
			Key: mainKey, Wait: callTimeout, Body: body,
		}}
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
func (b *testbed) handleCrash(x *hosted.Server, body string) {
	for _, s := range b.servers {
		if instance, _ := s.current(); instance != x {
			continue
		}
		f := Fault{Kind: CrashServer, Target: s.index}
		now := time.Now()
		b.recorder.update(func(r *Record) {
			r.CrashTimes[body] = append(r.CrashTimes[body], now)
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
		l := c.CrashTimes[a.Body]
		s, ok := c.requestsByID[a.ID]
		if !ok || a.Refused || len(l) < 3 || a.At.Sub(l[2]) <= recoveryTime || c.vmFaultDuring(Span{l[2], a.At}, s.VM) {
			continue
		}
		late[a.Body]++
		if late[a.Body] == maxCrashingRequests+1 {
			c.addViolation(CrashesContained, a.ID, a.At, fmt.Sprintf("%s reached servers %d more times, %s after its third crash; %d crashes in total", a.Body, late[a.Body], a.At.Sub(l[2]), len(l)))
		}
	}
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
