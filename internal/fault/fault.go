package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Code is the number of a type of failure; numbers are never reused.
type Code int

// Codes of failures; the thousands digit groups them by who has to act.
const (
	MalformedJSON      Code = 1001
	BodyTooLarge       Code = 1002
	InvalidRequest     Code = 1003
	UnknownWorkspace   Code = 1004
	UnknownModel       Code = 1005
	UnknownService     Code = 1006
	NotAllowed         Code = 1007
	UnknownPath        Code = 1008
	InvalidHeader      Code = 1009
	ReusedKey          Code = 1010
	SlowSender         Code = 1011
	SlowReader         Code = 1012
	CallerGone         Code = 1013
	UnknownStream      Code = 1014
	QueueFull          Code = 2001
	QueueTimeout       Code = 2002
	DeadlinePassed     Code = 2003
	LimitReached       Code = 2004
	NoServer           Code = 2005
	Stopping           Code = 2006
	Starting           Code = 2007
	TooLarge           Code = 2008
	Quarantined        Code = 2009
	MemoryShort        Code = 2010
	BandwidthShort     Code = 2011
	NotStarted         Code = 3001
	GenerationLost     Code = 3002
	OutcomeUnknown     Code = 3003
	ServerRefused      Code = 3004
	BadAnswer          Code = 3005
	Misdirected        Code = 3006
	NoPath             Code = 3007
	ServerDown         Code = 3008
	ClaimUnavailable   Code = 4001
	ClaimHeld          Code = 4002
	PlatformDown       Code = 4003
	PlatformThrottled  Code = 4004
	VersionConflict    Code = 4005
	NotFound           Code = 4006
	WatchTooOld        Code = 4007
	OutcomeUnconfirmed Code = 4008
	InvalidResource    Code = 5001
	InvalidSettings    Code = 5002
	UnreadableFile     Code = 5003
	PeerProtocol       Code = 6001
	PeerUnreachable    Code = 6002
	UnknownRequest     Code = 6003
	OldFence           Code = 6004
	ListenFailed       Code = 7001
	Internal           Code = 7002
	NotInForce         Code = 7003
	CheckFailed        Code = 7004
)

// Kind describes one code in the catalogue.
type Kind struct {
	Code   Code
	Type   string
	Status int
	Ran    api.Ran
	Help   string
}

// Catalogue lists all codes in order.
var Catalogue = []Kind{
	{MalformedJSON, "malformed_json", http.StatusBadRequest, api.RanNo, "The body is not JSON."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, api.RanNo, "The body is larger than entry.body_limit_kb."},
	{InvalidRequest, "invalid_request", http.StatusBadRequest, api.RanNo, "A field of the body is missing or wrong."},
	{UnknownWorkspace, "unknown_workspace", http.StatusUnauthorized, api.RanNo, "No workspace has this key."},
	{UnknownModel, "unknown_model", http.StatusNotFound, api.RanNo, "No such model or adapter is declared."},
	{UnknownService, "unknown_service", http.StatusNotFound, api.RanNo, "No such plain service is declared."},
	{NotAllowed, "not_allowed", http.StatusForbidden, api.RanNo, "The workspace may not use this model, adapter or service."},
	{UnknownPath, "unknown_path", http.StatusNotFound, api.RanNo, "No such path."},
	{InvalidHeader, "invalid_header", http.StatusBadRequest, api.RanNo, "A request header has a wrong value."},
	{ReusedKey, "reused_key", http.StatusUnprocessableEntity, api.RanNo, "The idempotency key was used for another request."},
	{SlowSender, "slow_sender", http.StatusRequestTimeout, api.RanNo, "The request did not arrive in time."},
	{SlowReader, "slow_reader", http.StatusServiceUnavailable, api.RanYes, "The caller did not read its answer in time."},
	{CallerGone, "caller_gone", http.StatusServiceUnavailable, api.RanUnknown, "The caller closed its connection."},
	{UnknownStream, "unknown_stream", http.StatusNotFound, api.RanUnknown, "The stream to resume is unknown or belongs to another caller."},
	{QueueFull, "queue_full", http.StatusTooManyRequests, api.RanNo, "Too many requests wait for an engine."},
	{QueueTimeout, "queue_timeout", http.StatusServiceUnavailable, api.RanNo, "No engine had free capacity in time."},
	{DeadlinePassed, "deadline_passed", http.StatusGatewayTimeout, api.RanNo, "The deadline passed or can't be met."},
	{LimitReached, "limit_reached", http.StatusTooManyRequests, api.RanNo, "The workspace is at its limit."},
	{NoServer, "no_server", http.StatusServiceUnavailable, api.RanNo, "No backend server can take the request now."},
	{Stopping, "stopping", http.StatusServiceUnavailable, api.RanNo, "This entry VM is stopping."},
	{Starting, "starting", http.StatusServiceUnavailable, api.RanNo, "This entry VM has no configuration yet."},
	{TooLarge, "too_large", http.StatusBadRequest, api.RanNo, "Prompt and answer can't fit the model or any engine."},
	{Quarantined, "quarantined", http.StatusServiceUnavailable, api.RanNo, "Backend servers ended while they ran requests with the same content, or the same part of their prompts; they are sent to no further one."},
	{MemoryShort, "memory_short", http.StatusServiceUnavailable, api.RanNo, "This entry VM has no memory for the body of the request now."},
	{BandwidthShort, "bandwidth_short", http.StatusServiceUnavailable, api.RanNo, "The network link of this entry VM has no room for the request now."},
	{NotStarted, "not_started", http.StatusBadGateway, api.RanNo, "The backend server could not be reached; nothing was sent."},
	{GenerationLost, "generation_lost", http.StatusBadGateway, api.RanYes, "The generation was lost after its first token."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, api.RanUnknown, "The request was sent and no complete answer was received."},
	{ServerRefused, "server_refused", http.StatusServiceUnavailable, api.RanNo, "The backend server reported that it did not run the request."},
	{BadAnswer, "bad_answer", http.StatusBadGateway, api.RanUnknown, "The backend server's answer was malformed or cut short."},
	{Misdirected, "misdirected", http.StatusServiceUnavailable, api.RanNo, "The intended backend server is gone and another one has its address."},
	{NoPath, "no_path", http.StatusBadGateway, api.RanNo, "This entry VM reaches the backend server neither itself nor through peers."},
	{ServerDown, "server_down", http.StatusBadGateway, api.RanNo, "The backend server accepts no connections although others of its service do."},
	{ClaimUnavailable, "claim_unavailable", http.StatusServiceUnavailable, api.RanNo, "The claim of a request that is not repeatable could not be recorded."},
	{ClaimHeld, "claim_held", http.StatusConflict, api.RanUnknown, "An earlier attempt with this key has no known outcome."},
	{PlatformDown, "platform_down", http.StatusServiceUnavailable, api.RanNo, "The platform does not answer."},
	{PlatformThrottled, "platform_throttled", http.StatusTooManyRequests, api.RanNo, "The platform temporarily refuses calls."},
	{VersionConflict, "version_conflict", http.StatusConflict, api.RanNo, "The object has another version than expected."},
	{NotFound, "not_found", http.StatusNotFound, api.RanNo, "No such object."},
	{WatchTooOld, "watch_too_old", http.StatusGone, api.RanNo, "The version to watch from is no longer retained."},
	{OutcomeUnconfirmed, "outcome_unconfirmed", http.StatusBadGateway, api.RanUnknown, "A write was sent and could not be read back."},
	{InvalidResource, "invalid_resource", http.StatusBadRequest, api.RanNo, "A resource has an unknown field or a wrong value."},
	{InvalidSettings, "invalid_settings", http.StatusBadRequest, api.RanNo, "The settings have an unknown key or a wrong value."},
	{UnreadableFile, "unreadable_file", http.StatusBadRequest, api.RanNo, "A file could not be read or written."},
	{PeerProtocol, "peer_protocol", http.StatusUpgradeRequired, api.RanNo, "The peer uses another protocol version."},
	{PeerUnreachable, "peer_unreachable", http.StatusBadGateway, api.RanNo, "The peer does not answer."},
	{UnknownRequest, "unknown_request", http.StatusNotFound, api.RanUnknown, "There is no record of this request."},
	{OldFence, "old_fence", http.StatusConflict, api.RanNo, "The lease that an order was sent under has a newer holder."},
	{ListenFailed, "listen_failed", http.StatusInternalServerError, api.RanNo, "An address could not be listened on."},
	{Internal, "internal", http.StatusInternalServerError, api.RanUnknown, "An internal defect of the system."},
	{NotInForce, "not_in_force", http.StatusGatewayTimeout, api.RanYes, "An accepted change was not observed in force everywhere in time."},
	{CheckFailed, "check_failed", http.StatusInternalServerError, api.RanYes, "A run ended with outcomes that must not occur."},
}

var kinds = func() map[Code]Kind {
	m := make(map[Code]Kind, len(Catalogue))
	for _, k := range Catalogue {
		m[k.Code] = k
	}
	return m
}()

// Kind returns the catalogue entry of the code; an unlisted code has that of
// Internal.
func (c Code) Kind() Kind {
	k, ok := kinds[c]
	if !ok {
		return kinds[Internal]
	}
	return k
}

// Error is a typed failure.
type Error struct {
	Code       Code
	Ran        api.Ran
	RetryAfter time.Duration
	Detail     string
	Cause      error
}

// New creates a fault; the catalogue states whether the request ran.
func New(c Code, detail string) *Error {
	return &Error{Code: c, Ran: c.Kind().Ran, Detail: detail}
}

// Wrap creates a fault that was caused by another error.
func Wrap(c Code, err error, detail string) *Error {
	f := New(c, detail)
	f.Cause = err
	return f
}

// WithRetryAfter returns a copy that states after which time to retry.
func (f *Error) WithRetryAfter(d time.Duration) *Error {
	g := *f
	g.RetryAfter = d
	return &g
}

// WithRan returns a copy that overrides whether the request ran.
func (f *Error) WithRan(r api.Ran) *Error {
	g := *f
	g.Ran = r
	return &g
}

// Error returns the type with its number, the detail and the cause.
func (f *Error) Error() string {
	s := fmt.Sprintf("%s (%d): %s", f.Code.Kind().Type, f.Code, f.Detail)
	if f.Cause != nil {
		s += ": " + f.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (f *Error) Unwrap() error {
	return f.Cause
}

// Is reports whether the target is a fault of the same code.
func (f *Error) Is(target error) bool {
	t, ok := target.(*Error)
	return ok && t.Code == f.Code
}

// From returns the fault in an error's chain, or wraps the error as Internal.
func From(err error) *Error {
	var f *Error
	if errors.As(err, &f) {
		return f
	}
	return Wrap(Internal, err, "unexpected failure")
}

// Has reports whether an error's chain holds a fault of the code.
func Has(err error, c Code) bool {
	var f *Error
	return errors.As(err, &f) && f.Code == c
}

// Body converts the fault to the response body that callers receive.
func (f *Error) Body(r api.RequestID) api.ErrorBody {
	return api.ErrorBody{Error: api.ErrorDetail{
		Type:         f.Code.Kind().Type,
		Code:         int(f.Code),
		Message:      f.message(),
		Ran:          f.Ran,
		RetryAfterMS: api.ToMilliseconds(f.RetryAfter),
		Request:      r,
	}}
}

// message returns the text for callers without the cause, which may contain
// internal addresses.
func (f *Error) message() string {
	if f.Detail == "" {
		return f.Code.Kind().Help
	}
	return f.Detail
}

// FromBody converts a failure that another process reported to a fault.
func FromBody(b api.ErrorBody) *Error {
	c := Code(b.Error.Code)
	f := New(c, b.Error.Message)
	f.Ran = b.Error.Ran
	f.RetryAfter = b.Error.RetryAfterMS.Duration()
	return f
}
