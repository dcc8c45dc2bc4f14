package role

import (
	"time"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/decide/placement"
)

// Class states whether prefill at an engine keeps the gap target of the streams there.
type Class int

// The classes of engines.
const (
	// Unknown engines have no forecast yet.
	Unknown Class = iota
	// Resilient engines keep the gap target while they prefill.
	Resilient
	// Sensitive engines break the gap target while they prefill.
	Sensitive
)

// String returns the name of the class in logs and metrics.
func (c Class) String() string {
	return [...]string{"unknown", "resilient", "sensitive"}[c]
}

// Role is what an engine is used for.
type Role int

// The roles of engines.
const (
	// Any engines are used without restriction: resilient and unknown ones, and all engines
	// of a service that is not mixed.
	Any Role = iota
	// Prefill engines run short answers and prefill the prompts of long ones, which are
	// handed off after their first event.
	Prefill
	// Decode engines run long answers.
	Decode
)

// String returns the name of the role in logs, metrics and commands.
func (r Role) String() string {
	return [...]string{"any", "prefill", "decode"}[r]
}

// Parse returns the role with a name, or false if there is none.
func Parse(name string) (Role, bool) {
	for _, r := range []Role{Any, Prefill, Decode} {
		if r.String() == name {
			return r, true
		}
	}
	return Any, false
}

// Request is what a request needs at an engine.
type Request = placement.Requirements

// Engine is an engine of the failure domain that is not leaving, whether or not it accepts
// requests at the moment: the class and role of an engine are lost when a plan leaves it out.
type Engine struct {
	Name   api.ServerName
	Load   api.ServerLoad
	Memory api.Tokens
}

// Summary counts the engines of the last plan by class and role.
type Summary struct {
	Mixed   bool
	Classes map[Class]int
	Roles   map[Role]int
}

// State is what the planner knows of one engine.
type State struct {
	Server api.ServerName
	Class  Class
	Role   Role
	// Pinned is set if an operator chose the role.
	Pinned bool
	// Target is the gap target of the last plan, and ExceedShare the forecast share of gaps
	// over it.
	Target      time.Duration
	ExceedShare float64
	BaseGap     time.Duration
	// PrefillRate is in tokens per second.
	PrefillRate float64
}
