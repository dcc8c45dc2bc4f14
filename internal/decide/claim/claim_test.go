package claim_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/claim"
	"github.com/wardridge/wardridge/internal/fault"
)

func spec(owner api.VMName, r api.RequestID) api.ClaimSpec {
	return api.ClaimSpec{Workspace: "w", Owner: owner, Incarnation: 1, Request: r, State: api.ClaimStateClaimed, BodyHash: "h"}
}

func TestNextAction(t *testing.T) {
	mine := spec("a", "r1")
	other := spec("b", "r0")
	done := other
	done.State = api.ClaimStateDone
	abandoned := other
	abandoned.State = api.ClaimStateAbandoned
	reused := done
	reused.BodyHash = "x"
	tests := []struct {
		name     string
		steps    func(c *claim.Claim) claim.Action
		want     claim.Kind
		wantCode fault.Code
		wantRan  api.Ran
	}{
		{"created", func(c *claim.Claim) claim.Action { return c.HandleWrite(claim.WriteDone) }, claim.Send, 0, ""},
		{"platform refuses", func(c *claim.Claim) claim.Action { return c.HandleWrite(claim.WriteRefused) }, claim.Refuse, fault.ClaimUnavailable, api.RanNo},
		{"write with an unknown result", func(c *claim.Claim) claim.Action { return c.HandleWrite(claim.WriteUnknown) }, claim.Read, 0, ""},
		{"unknown write that took effect", func(c *claim.Claim) claim.Action {
			c.HandleWrite(claim.WriteUnknown)
			return c.HandleRead(true, mine, 1, true)
		}, claim.Send, 0, ""},
		{"unknown write that has not taken effect", func(c *claim.Claim) claim.Action {
			c.HandleWrite(claim.WriteUnknown)
			return c.HandleRead(false, api.ClaimSpec{}, 0, true)
		}, claim.Refuse, fault.ClaimUnavailable, api.RanNo},
		{"unknown write, then a failed read", func(c *claim.Claim) claim.Action { c.HandleWrite(claim.WriteUnknown); return c.HandleReadError() }, claim.Refuse, fault.ClaimUnavailable, api.RanNo},
		{"earlier attempt is done", func(c *claim.Claim) claim.Action { return c.HandleRead(true, done, 1, true) }, claim.Replay, 0, ""},
		{"earlier attempt was abandoned", func(c *claim.Claim) claim.Action { return c.HandleRead(true, abandoned, 1, true) }, claim.TakeOver, 0, ""},
		{"key reused with another body", func(c *claim.Claim) claim.Action { return c.HandleRead(true, reused, 1, true) }, claim.Refuse, fault.ReusedKey, api.RanNo},
		{"held by another owner", func(c *claim.Claim) claim.Action { return c.HandleRead(true, other, 1, true) }, claim.RequestRelease, 0, ""},
		{"owner releases it", func(c *claim.Claim) claim.Action { c.HandleRead(true, other, 1, true); return c.HandleRelease(true, 1) }, claim.TakeOver, 0, ""},
		{"owner keeps it", func(c *claim.Claim) claim.Action {
			c.HandleRead(true, other, 1, true)
			return c.HandleRelease(false, 1)
		}, claim.Refuse, fault.ClaimHeld, api.RanUnknown},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := claim.New(mine)
			c.Begin()
			m := x.steps(c)
			if m.Kind != x.want {
				t.Fatalf("action: got %d, want %d", m.Kind, x.want)
			}
			if m.Kind != claim.Refuse {
				return
			}
			if m.Fault.Code != x.wantCode || m.Fault.Ran != x.wantRan {
				t.Errorf("fault: got %d ran %s, want %d ran %s", m.Fault.Code, m.Fault.Ran, x.wantCode, x.wantRan)
			}
		})
	}
}

func TestReleasedAttemptIsNeverSent(t *testing.T) {
	a := claim.NewAttempts(1)
	a.Add("r")
	if got := a.Release("r", 1); !got {
		t.Fatalf("Release of an unsent attempt: got %v, want true", got)
	}
	if got := a.TrySend("r"); got {
		t.Errorf("TrySend after a release: got %v, want false", got)
	}
}

func TestSentAttemptIsNotReleased(t *testing.T) {
	a := claim.NewAttempts(1)
	a.Add("r")
	a.TrySend("r")
	if got := a.Release("r", 1); got {
		t.Errorf("Release of a sent attempt: got %v, want false", got)
	}
	if got := a.Release("other", 2); got {
		t.Errorf("Release for another incarnation: got %v, want false", got)
	}
}

// vm is one entry VM of the random runs. The next step of its requests may never come.
type vm struct {
	name     api.VMName
	attempts *claim.Attempts
}

type request struct {
	vm   *vm
	c    *claim.Claim
	req  api.RequestID
	next claim.Action
}

type record struct {
	exists  bool
	spec    api.ClaimSpec
	version api.Version
}

func TestSentAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []*vm{{"a", claim.NewAttempts(1)}, {"b", claim.NewAttempts(1)}, {"c", claim.NewAttempts(1)}}
		incarnations := map[api.VMName]api.Incarnation{"a": 1, "b": 1, "c": 1}
		var obj record
		var delayed []func()
		var requests []*request
		sends := 0
		write := func(m claim.Action) bool {
			if m.Version != obj.version {
				return false
			}
			obj = record{exists: true, spec: m.Spec, version: obj.version + 1}
			return true
		}
		step := func(x *request) {
			switch m := x.next; m.Kind {
			case claim.Create, claim.TakeOver:
				switch rapid.SampledFrom([]string{"ok", "ok", "lost", "late", "refused"}).Draw(t, "write") {
				case "ok":
					if write(m) {
						x.next = x.c.HandleWrite(claim.WriteDone)
					} else {
						x.next = x.c.HandleWrite(claim.WriteConflict)
					}
				case "lost":
					write(m)
					x.next = x.c.HandleWrite(claim.WriteUnknown)
				case "late":
					delayed = append(delayed, func() { write(m) })
					x.next = x.c.HandleWrite(claim.WriteUnknown)
				case "refused":
					x.next = x.c.HandleWrite(claim.WriteRefused)
				}
			case claim.Read:
				x.next = x.c.HandleRead(obj.exists, obj.spec, obj.version, true)
			case claim.RequestRelease:
				released := false
				for _, v := range vms {
					if v.name == m.Spec.Owner {
						released = v.attempts.Release(m.Spec.Request, m.Spec.Incarnation)
					}
				}
				x.next = x.c.HandleRelease(released, m.Version)
			case claim.Send:
				if x.vm.attempts.TrySend(x.req) {
					sends++
				}
				x.next = claim.Action{Kind: claim.Replay}
			}
		}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"ask", "step", "step", "step", "land", "restart"}).Draw(t, "what") {
			case "ask":
				v := rapid.SampledFrom(vms).Draw(t, "vm")
				r := api.RequestID(rune('A' + n))
				s := spec(v.name, r)
				s.Incarnation = incarnations[v.name]
				v.attempts.Add(r)
				c := claim.New(s)
				requests = append(requests, &request{vm: v, c: c, req: r, next: c.Begin()})
			case "step":
				if len(requests) > 0 {
					step(rapid.SampledFrom(requests).Draw(t, "course"))
				}
			case "land":
				if len(delayed) > 0 {
					delayed[0]()
					delayed = delayed[1:]
				}
			case "restart":
				v := rapid.SampledFrom(vms).Draw(t, "vm")
				incarnations[v.name]++
				v.attempts = claim.NewAttempts(incarnations[v.name])
				kept := requests[:0]
				for _, x := range requests {
					if x.vm != v {
						kept = append(kept, x)
					}
				}
				requests = kept
			}
			if sends > 1 {
				t.Fatalf("got the request sent %d times, want at most once", sends)
			}
		}
	})
}
