package entry

import (
	"context"
	"net/http"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/claims"
	"github.com/wardridge/wardridge/internal/trace"
	"github.com/wardridge/wardridge/internal/wire"
)

// claim claims a request that is not repeatable. It returns a permit to send the request,
// or the recorded answer of an earlier attempt.
func (s *Server) claim(ctx context.Context, q *request, hash string) (*claims.Permit, *claims.Answer, error) {
	ctx, span := trace.Start(ctx, "claim")
	defer span.End()
	p, a, err := s.Claims.Claim(ctx, claims.Name(q.workspace.Name, q.key), api.ClaimSpec{
		Workspace: q.workspace.Name,
		Request:   q.id,
		BodyHash:  hash,
	})
	switch {
	case err != nil:
		s.explain(q, "claim", err.Error())
	case a != nil:
		s.explain(q, "claim", "an earlier attempt was answered; its recorded answer is sent again")
	default:
		s.explain(q, "claim", "recorded before the request is sent")
	}
	return p, a, err
}

// writeAnswer sends a complete answer, which may be the recorded answer of an earlier
// attempt.
func (s *Server) writeAnswer(w http.ResponseWriter, q *request, a *claims.Answer) {
	h := w.Header()
	h.Set(wire.HeaderRequestID, string(q.id))
	h.Set(wire.HeaderRan, string(api.RanYes))
	if a.ContentType != "" {
		h.Set(wire.HeaderContentType, a.ContentType)
	}
	w.WriteHeader(a.Status)
	// The write fails only if the caller has left, which needs no handling.
	_, _ = w.Write(a.Body)
}
