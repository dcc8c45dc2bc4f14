package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/config"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/wire"
)

// Bounds of what callers may put into headers.
const (
	keyLimit      = 256
	kindLimit     = 64
	deadlineLimit = 2 * time.Hour
)

// defaultKind is the kind of requests that name none.
const defaultKind = "default"

// request is what is known of a request from its head.
type request struct {
	id        api.RequestID
	workspace config.Workspace
	view      *config.View
	priority  api.Priority
	kind      api.RequestKind
	began     time.Time
	deadline  time.Time
	key       string
	once      bool
	// resumed tells that its generation runs whatever becomes of this call.
	resumed bool
}

// head reads a request's head and finds its workspace by its key.
func (s *Server) head(r *http.Request) (*request, error) {
	v := s.View()
	w, err := authenticate(v, r)
	if err != nil {
		return nil, err
	}
	q := &request{
		id:        api.RequestID(uuid.NewString()),
		workspace: w,
		view:      v,
		kind:      defaultKind,
		began:     time.Now(),
	}
	s.Explain.Begin(q.id, w.Name)
	for _, f := range []func(*request, http.Header) error{s.readDeadline, readPriority, readKind, readOnce} {
		if err := f(q, r.Header); err != nil {
			return q, err
		}
	}
	return q, nil
}

func authenticate(v *config.View, r *http.Request) (config.Workspace, error) {
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || k == "" {
		return config.Workspace{}, fault.New(fault.UnknownWorkspace, "the Authorization header has no bearer key")
	}
	h := sha256.Sum256([]byte(k))
	n, ok := v.WorkspaceByKey[hex.EncodeToString(h[:])]
	if !ok {
		return config.Workspace{}, fault.New(fault.UnknownWorkspace, "no workspace has this key")
	}
	return v.Workspaces[n], nil
}

func invalid(header, allowed string) error {
	return fault.New(fault.InvalidHeader, header+" has to be "+allowed)
}

func (s *Server) readDeadline(q *request, h http.Header) error {
	d := s.settings.DeadlineMS.Duration()
	if v := h.Get(wire.HeaderDeadline); v != "" {
		n, err := strconv.Atoi(v)
		d = time.Duration(n) * time.Millisecond
		if err != nil || n <= 0 || d > deadlineLimit {
			return invalid(wire.HeaderDeadline, "a number of ms from 1 to "+strconv.Itoa(int(deadlineLimit.Milliseconds())))
		}
	}
	q.deadline = q.began.Add(d)
	return nil
}

// readPriority takes the workspace's own priority unless a lower one is named.
func readPriority(q *request, h http.Header) error {
	q.priority = q.workspace.Priority
	v := api.Priority(h.Get(wire.HeaderPriority))
	switch v {
	case "":
	case api.PriorityInteractive, api.PriorityStandard, api.PriorityBackground:
		if v.Rank() > q.priority.Rank() {
			q.priority = v
		}
	default:
		return invalid(wire.HeaderPriority, "interactive, standard or background")
	}
	return nil
}

func readKind(q *request, h http.Header) error {
	v := h.Get(wire.HeaderKind)
	if len(v) > kindLimit {
		return invalid(wire.HeaderKind, "at most "+strconv.Itoa(kindLimit)+" bytes")
	}
	if v != "" {
		q.kind = api.RequestKind(v)
	}
	return nil
}

func readOnce(q *request, h http.Header) error {
	q.key = h.Get(wire.HeaderIdempotency)
	if len(q.key) > keyLimit {
		return invalid(wire.HeaderIdempotency, "at most "+strconv.Itoa(keyLimit)+" bytes")
	}
	switch v := h.Get(wire.HeaderNotRepeatable); v {
	case "", "false":
	case "true":
		q.once = true
	default:
		return invalid(wire.HeaderNotRepeatable, "true or false")
	}
	return nil
}
