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

// Limits of the header values that callers may send.
const (
	maxKeyBytes  = 256
	maxKindBytes = 64
	maxTimeout   = 2 * time.Hour
)

// defaultKind is the kind of a request that does not name one.
const defaultKind = "default"

// request holds the values of a request's headers, and the workspace that it belongs to.
type request struct {
	id        api.RequestID
	workspace config.Workspace
	// route is the path of the interface that the request uses: PathChat, or PathServices with
	// the name of a declared service. It is empty until the service is found.
	route         string
	view          *config.View
	priority      api.Priority
	kind          api.RequestKind
	started       time.Time
	deadline      time.Time
	key           string
	notRepeatable bool
	// stream is set for a generation, and tokens is the largest number of tokens of its answer.
	stream bool
	tokens api.Tokens
	// resumed is set if the request resumes a generation, which runs regardless of what
	// happens to this request.
	resumed bool
}

// readHead reads the headers of a request and finds its workspace by the caller's key.
func (s *Server) readHead(r *http.Request) (*request, error) {
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
		started:   time.Now(),
	}
	s.Explain.Begin(q.id, w.Name)
	for _, f := range []func(*request, http.Header) error{s.readDeadline, readPriority, readKind, readNotRepeatable} {
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

func invalidHeader(header, allowed string) error {
	return fault.New(fault.InvalidHeader, header+" must be "+allowed)
}

func (s *Server) readDeadline(q *request, h http.Header) error {
	d := s.entrySettings.DeadlineMS.Duration()
	if v := h.Get(wire.HeaderDeadline); v != "" {
		n, err := strconv.Atoi(v)
		d = time.Duration(n) * time.Millisecond
		if err != nil || n <= 0 || d > maxTimeout {
			return invalidHeader(wire.HeaderDeadline, "a number of ms from 1 to "+strconv.Itoa(int(maxTimeout.Milliseconds())))
		}
	}
	q.deadline = q.started.Add(d)
	return nil
}

// readPriority sets the priority of the workspace, or a lower one if the request names it.
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
		return invalidHeader(wire.HeaderPriority, "interactive, standard or background")
	}
	return nil
}

func readKind(q *request, h http.Header) error {
	v := h.Get(wire.HeaderKind)
	if len(v) > maxKindBytes {
		return invalidHeader(wire.HeaderKind, "at most "+strconv.Itoa(maxKindBytes)+" bytes")
	}
	if v != "" {
		q.kind = api.RequestKind(v)
	}
	return nil
}

func readNotRepeatable(q *request, h http.Header) error {
	q.key = h.Get(wire.HeaderIdempotencyKey)
	if len(q.key) > maxKeyBytes {
		return invalidHeader(wire.HeaderIdempotencyKey, "at most "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	switch v := h.Get(wire.HeaderNotRepeatable); v {
	case "", "false":
	case "true":
		q.notRepeatable = true
	default:
		return invalidHeader(wire.HeaderNotRepeatable, "true or false")
	}
	return nil
}
