package entry

import (
	"context"
	"net/http"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/claims"
	"github.com/wardridge/wardridge/internal/trace"
	"github.com/wardridge/wardridge/internal/wire"
)

// claim makes the claim of a request that is not repeatable.
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
		s.note(q, "claim", err.Error())
	case a != nil:
		s.note(q, "claim", "an earlier attempt was answered; its answer is given again")
	default:
		s.note(q, "claim", "recorded before the send")
	}
	return p, a, err
}

// replay answers with the kept answer of an earlier attempt.
func (s *Server) replay(w http.ResponseWriter, q *request, a *claims.Answer) {
	h := w.Header()
	h.Set(wire.HeaderRequest, string(q.id))
	h.Set(wire.HeaderRan, string(api.RanYes))
	if a.ContentType != "" {
		h.Set(wire.HeaderType, a.ContentType)
	}
	status := a.Status
	if status < http.StatusOK {
		status = http.StatusOK
	}
	w.WriteHeader(status)
	// A caller that is gone needs no answer.
	_, _ = w.Write(a.Body)
}
