package entry

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/answer"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/wire"
)

// Event ids tell where a stream comes from, so that any entry VM can go on
// with it: model.generation.server.mac.index, each part in base64 but the
// last.
const placeParts = 5

// place is the part of an event id before the index.
func (c *chat) place(g api.GenerationID) string {
	l := []string{string(c.ask.Model), string(g), string(c.engine)}
	mac := c.sign(l)
	for i, v := range l {
		l[i] = base64.RawURLEncoding.EncodeToString([]byte(v))
	}
	return strings.Join(append(l, base64.RawURLEncoding.EncodeToString(mac)), ".") + "."
}

// sign binds a place to the workspace, so that no other can read its stream.
func (r *request) sign(parts []string) []byte {
	h := hmac.New(sha256.New, []byte(r.workspace.KeySha256))
	h.Write([]byte(strings.Join(append([]string{string(r.id)}, parts...), "\x00")))
	return h.Sum(nil)
}

// find reads an event id back; next is the index after the event's.
func (c *chat) find(id string) (g api.GenerationID, next int, err error) {
	unknown := fault.New(fault.UnknownStream, wire.HeaderLastEvent+" is not an event id of this request")
	l := strings.Split(id, ".")
	if len(l) != placeParts {
		return "", 0, unknown
	}
	n, err := strconv.Atoi(l[placeParts-1])
	if err != nil || n < 0 {
		return "", 0, unknown
	}
	var d []string
	for _, v := range l[:placeParts-1] {
		b, err := base64.RawURLEncoding.DecodeString(v)
		if err != nil {
			return "", 0, unknown
		}
		d = append(d, string(b))
	}
	mac := d[len(d)-1]
	d = d[:len(d)-1]
	if !hmac.Equal([]byte(mac), c.sign(d)) {
		return "", 0, unknown
	}
	c.ask.Model, c.engine = api.ModelName(d[0]), api.ServerName(d[2])
	return api.GenerationID(d[1]), n + 1, nil
}

// resume goes on with a stream whose connection or entry VM was lost.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	q, err := s.head(r)
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	q.id = api.RequestID(chi.URLParam(r, "request"))
	s.Explain.Begin(q.id, q.workspace.Name)
	c := &chat{request: q}
	c.ask.Stream = true
	g, next, err := c.find(r.Header.Get(wire.HeaderLastEvent))
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	q.resumed = true
	s.admitted(w, r, q, func(ctx context.Context) error {
		s.goOn(ctx, w, c, g, next)
		return nil
	})
}

func (s *Server) goOn(ctx context.Context, w http.ResponseWriter, c *chat, g api.GenerationID, next int) {
	v, ok := s.View().Servers[c.engine]
	if !ok {
		s.refuse(w, c.request, fault.New(fault.GenerationLost, "the engine of this stream is gone"))
		return
	}
	k := newStreamSink(s, w, c)
	k.count, k.flushed = api.Tokens(next), api.Tokens(next)
	t := &attempt{
		server: s, chat: c, sink: k, engine: c.engine, address: v.Address,
		answer: answer.NewResumed(s.policy(c), g, next), last: time.Now(),
	}
	s.note(c.request, "resume", "the caller came back for token "+strconv.Itoa(next)+" of "+string(c.engine))
	n := t.stream(ctx, t.resume)
	f := n.Fault
	if n.Action == finished {
		f = k.Finish()
	} else {
		t.cancel(ctx)
	}
	switch {
	case f == nil:
		s.done(c.request)
	case k.Started():
		s.count(f, c.id)
		k.Fail(f)
	default:
		s.refuse(w, c.request, f)
	}
}
