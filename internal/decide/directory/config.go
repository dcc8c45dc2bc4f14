package directory

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
)

// Kind tells how a route's requests may be treated.
type Kind string

// Kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered event by event and run at most once.
	Stream Kind = "stream"
)

// Target is one of the services that share a route's requests.
type Target struct {
	Service api.ServiceName
	Weight  int
}

// Route sends the requests of a host below a path to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time a request is held.
	Timeout time.Duration
	// LatencyTarget is the time in which an answer, or a stream's first event, is good.
	LatencyTarget time.Duration `json:"Aim"`
	// GapTarget is the longest good pause between events of a stream.
	GapTarget time.Duration `json:"GapAim"`
	// Priority ranks the route after its caller's workspace; 0 goes first.
	Priority int
	Targets  []Target
	// MaxServers bounds the servers that one request may be sent to.
	MaxServers int
	// Anonymous lets requests without a key in.
	Anonymous bool
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots  int
	Memory api.Tokens
	// TokenBytes is the memory of one token, which a copy has to carry.
	TokenBytes int64
	LinkMbps   float64
	// SupportsMoves and Backups tell whether runs can be copied on order, and as they
	// grow.
	SupportsMoves   bool `json:"Moves"`
	SupportsBackups bool `json:"Backups"`
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int `json:"Stride"`
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name           api.ServiceName
	MaxConnections int
	// WarmUp is how long a server is cold after a start, and ColdRate the requests a
	// second that it bears meanwhile; zero for no bound.
	WarmUp   time.Duration
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name     api.WorkspaceName
	Keys     []string
	Priority int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one whole configuration.
type Config struct {
	// Version is the operators' number; it rises with every change.
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}
