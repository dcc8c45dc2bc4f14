package contract

import (
	"net/http"
	"strings"
	"testing"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/sample"
	"github.com/wardridge/wardridge/internal/wire"
)

// chatBody is a chat call with the given body.
func chatBody(s string) call {
	return call{key: sample.KeyDispatch, body: s}
}

// validBody is the body of a valid chat request.
const validBody = `{"model":"desk","messages":[{"role":"user","content":"x"}]}`

func TestCallerContract(t *testing.T) {
	b := newCluster(t)
	b.startEngine("engine-1", nil, nil)
	b.startService("orders-1")
	v := b.startEntry("entry-1", "[entry]\nbody_limit_kb = 128\n")
	with := func(h ...string) call { return call{key: sample.KeyDispatch, body: validBody, headers: h} }
	tests := []struct {
		name string
		call call
		want fault.Code
	}{
		{"complete answer", chatBody(validBody), 0},
		{"no key", call{body: validBody}, fault.UnknownWorkspace},
		{"unknown key", call{key: "nobody", body: validBody}, fault.UnknownWorkspace},
		{"malformed JSON", chatBody(`{"model":`), fault.MalformedJSON},
		{"not an object", chatBody(`7`), fault.MalformedJSON},
		{"two values", chatBody(validBody + validBody), fault.MalformedJSON},
		{"wrong type", chatBody(`{"model":7,"messages":[]}`), fault.MalformedJSON},
		{"empty body", chatBody(``), fault.MalformedJSON},
		{"no messages", chatBody(`{"model":"desk","messages":[]}`), fault.InvalidRequest},
		{"negative length", chatBody(`{"model":"desk","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`), fault.InvalidRequest},
		{"unknown model", chatBody(strings.Replace(validBody, "desk", "none", 1)), fault.UnknownModel},
		{"unknown adapter", chatBody(strings.Replace(validBody, "desk", "desk:none", 1)), fault.UnknownModel},
		{"adapter of the workspace", chatBody(strings.Replace(validBody, "desk", "desk:permits", 1)), 0},
		{"another workspace's adapter", call{key: sample.KeyField, body: strings.Replace(validBody, "desk", "desk:permits", 1)}, fault.NotAllowed},
		{"oversized body", chatBody(strings.Repeat("x", 129<<10)), fault.BodyTooLarge},
		{"prompt longer than the context", chatBody(strings.Replace(validBody, `"x"`, `"`+strings.Repeat("x", 70<<10)+`"`, 1)), fault.TooLarge},
		{"unknown priority", with(wire.HeaderPriority, "urgent"), fault.InvalidHeader},
		{"lower priority", with(wire.HeaderPriority, "background"), 0},
		{"deadline not a number", with(wire.HeaderDeadline, "soon"), fault.InvalidHeader},
		{"deadline of 0", with(wire.HeaderDeadline, "0"), fault.InvalidHeader},
		{"deadline too far", with(wire.HeaderDeadline, "99999999999"), fault.InvalidHeader},
		{"not-repeatable mark not a bool", with(wire.HeaderNotRepeatable, "yes"), fault.InvalidHeader},
		{"key too long", with(wire.HeaderIdempotencyKey, strings.Repeat("k", 300)), fault.InvalidHeader},
		{"request kind too long", with(wire.HeaderKind, strings.Repeat("k", 100)), fault.InvalidHeader},
		{"unknown path", call{path: "/v1/none", key: sample.KeyDispatch}, fault.UnknownPath},
		{"wrong method", call{method: http.MethodPut, key: sample.KeyDispatch}, fault.UnknownPath},
		{"unknown service", call{path: "/services/none/x", key: sample.KeyDispatch}, fault.UnknownService},
		{"service without a key", call{path: "/services/orders/x"}, fault.UnknownWorkspace},
		{"service", call{path: "/services/orders/x", key: sample.KeyDispatch}, 0},
		{"resume without an event id", call{method: http.MethodGet, path: "/v1/chat/completions/r"}, fault.UnknownWorkspace},
		{"resume with a forged event id", call{method: http.MethodGet, path: "/v1/chat/completions/r", key: sample.KeyDispatch, headers: []string{wire.HeaderLastEventID, "YQ.YQ.YQ.YQ.1"}}, fault.UnknownStream},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			r := v.send(c.call)
			if r.err != nil {
				t.Fatal(r.err)
			}
			checkRefusal(t, r, c.want)
		})
	}
}

// checkRefusal compares an answer's status, type, code and report on whether the request ran with
// the catalogue of faults; a code of 0 means success.
func checkRefusal(t *testing.T, r reply, want fault.Code) {
	t.Helper()
	f := r.fault()
	if fault.Code(f.Code) != want {
		t.Fatalf("code: got %d (%s), want %d", f.Code, r.body, want)
	}
	if want == 0 {
		if r.status != http.StatusOK {
			t.Errorf("status: got %d, want 200", r.status)
		}
		return
	}
	k := want.Kind()
	if r.status != k.Status || f.Type != k.Type {
		t.Errorf("got %d %s, want %d %s", r.status, f.Type, k.Status, k.Type)
	}
	if f.Ran != k.Ran || r.header.Get(wire.HeaderRan) != string(k.Ran) {
		t.Errorf("ran: got %s and header %q, want %s", f.Ran, r.header.Get(wire.HeaderRan), k.Ran)
	}
}

func TestRequestOverLimitGetsRetryAfter(t *testing.T) {
	b := newCluster(t)
	b.startEngine("engine-1", nil, nil)
	o, err := b.store.Get(api.ResourceKindWorkspace, "dispatch")
	if err != nil {
		t.Fatal(err)
	}
	o.Spec = []byte(strings.Replace(string(o.Spec), "{", `{"requests_per_second":1,`, 1))
	b.put(o)
	v := b.startEntry("entry-1", "")
	v.send(chatCall(1, false))
	r := v.send(chatCall(1, false))
	checkRefusal(t, r, fault.LimitReached)
	if got := r.header.Get(wire.HeaderRetryAfter); got != "1" {
		t.Errorf("Retry-After: got %q, want 1", got)
	}
}

func TestSlowAndOversizedRequestsAreRejected(t *testing.T) {
	b := newCluster(t)
	b.startEngine("engine-1", nil, nil)
	v := b.startEntry("entry-1", "[entry]\nheader_wait_ms = 100\n")
	conn := dial(t, v.listen)
	send(t, conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+sample.KeyDispatch+"\r\nContent-Length: 100\r\n\r\n{")
	if got := readAll(t, conn); !strings.Contains(got, "408") || !strings.Contains(got, "slow_sender") {
		t.Errorf("slow body: got %q, want 408 slow_sender", got)
	}
	conn = dial(t, v.listen)
	send(t, conn, "POST / HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("x", 64<<10)+"\r\n\r\n")
	if got := readAll(t, conn); !strings.Contains(got, "431") {
		t.Errorf("oversized header: got %q, want 431", got)
	}
	conn = dial(t, v.listen)
	send(t, conn, "POST / HT")
	if got := readAll(t, conn); strings.Contains(got, "200") {
		t.Errorf("slow header: got %q, want the connection closed", got)
	}
	if r := v.send(chatCall(3, false)); r.status != http.StatusOK {
		t.Errorf("request after the rejected ones: got %d, want 200", r.status)
	}
}
