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

// eventIDParts is the number of parts of an event id: model.generation.server.mac.index,
// all encoded in base64 except the index. The id identifies the source of its stream,
// so that any entry VM can resume the stream.
const eventIDParts = 5

// eventIDPrefix returns the part of an event id before the index.
func (c *chat) eventIDPrefix(g api.GenerationID) string {
	l := []string{string(c.params.Model), string(g), string(c.engine)}
	mac := c.sign(l)
	for i, v := range l {
		l[i] = base64.RawURLEncoding.EncodeToString([]byte(v))
	}
	return strings.Join(append(l, base64.RawURLEncoding.EncodeToString(mac)), ".") + "."
}

// sign returns a MAC of the request id and the parts of an event id, with a key of the
// workspace, so that no other workspace can read the stream.
func (r *request) sign(parts []string) []byte {
	h := hmac.New(sha256.New, []byte(r.workspace.KeySha256))
	h.Write([]byte(strings.Join(append([]string{string(r.id)}, parts...), "\x00")))
	return h.Sum(nil)
}

// parseEventID decodes and verifies an event id, and sets the model and the engine from
// it. The returned index is the one after the event.
func (c *chat) parseEventID(id string) (g api.GenerationID, next int, err error) {
	unknown := fault.New(fault.UnknownStream, wire.HeaderLastEventID+" is not an event id of this request")
	l := strings.Split(id, ".")
	if len(l) != eventIDParts {
		return "", 0, unknown
	}
	n, err := strconv.Atoi(l[eventIDParts-1])
	if err != nil || n < 0 {
		return "", 0, unknown
	}
	var d []string
	for _, v := range l[:eventIDParts-1] {
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
	c.params.Model, c.engine = api.ModelName(d[0]), api.ServerName(d[2])
	return api.GenerationID(d[1]), n + 1, nil
}

// resume handles the request of a caller to resume a stream after the connection or the
// entry VM was lost.
func (s *Server) resume(w http.ResponseWriter, r *http.Request) {
	q, err := s.readHead(r)
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	q.route = PathChat
	q.id = api.RequestID(chi.URLParam(r, "request"))
	s.Explain.Begin(q.id, q.workspace.Name)
	c := &chat{request: q}
	c.params.Stream = true
	g, next, err := c.parseEventID(r.Header.Get(wire.HeaderLastEventID))
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	q.resumed = true
	removeReadDeadline(w)
	s.runAdmitted(w, r, q, func(ctx context.Context) error {
		s.resumeStream(ctx, w, c, g, next)
		return nil
	})
}

// resumeStream streams a generation to the caller, starting at the token with the index
// next.
func (s *Server) resumeStream(ctx context.Context, w http.ResponseWriter, c *chat, g api.GenerationID, next int) {
	v, ok := s.View().Servers[c.engine]
	if !ok {
		s.refuse(w, c.request, fault.New(fault.GenerationLost, "the engine of this stream is no longer declared"))
		return
	}
	k := newStreamSink(s, w, c)
	k.count, k.flushed = api.Tokens(next), api.Tokens(next)
	t := &attempt{
		server: s, chat: c, sink: k, engine: c.engine, address: v.Address,
		answer: answer.NewResumed(s.policy(c), g, next), lastToken: time.Now(),
	}
	s.explain(c.request, "resume", "the caller resumes at token "+strconv.Itoa(next)+" of the stream from "+string(c.engine))
	n := t.readStreams(ctx, t.openResumed)
	f := n.Fault
	if n.Action == finished {
		f = k.Finish()
	} else {
		t.cancelGeneration(ctx)
	}
	switch {
	case f == nil:
		s.recordDone(c.request)
	case k.Started():
		s.recordFailure(f, c.request)
		k.Fail(f)
	default:
		s.refuse(w, c.request, f)
	}
}
