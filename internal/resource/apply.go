package resource

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/samber/oops"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/fault"
)

// Store reads and writes resources on the platform.
type Store interface {
	Get(ctx context.Context, k api.ResourceKind, n string) (api.Object, error)
	PutConfirmed(ctx context.Context, o api.Object) (api.Object, error)
}

// Outcome is the result of applying or editing one resource.
type Outcome struct {
	Object  api.Object
	Changed bool
}

// Apply writes a resource if it has not been changed since the version that it
// names. A resource without a version is created; if it exists, it must have the
// same spec. On a conflict Apply fails with VersionConflict, which shows the current
// resource.
func Apply(ctx context.Context, s Store, o api.Object) (Outcome, error) {
	n, err := s.PutConfirmed(ctx, o)
	if err == nil {
		return Outcome{Object: n, Changed: true}, nil
	}
	if !fault.Has(err, fault.VersionConflict) {
		return Outcome{}, oops.In("apply").Wrapf(err, "applying %s %s", o.Kind, o.Name)
	}
	current, e := s.Get(ctx, o.Kind, o.Name)
	if fault.Has(e, fault.NotFound) {
		return Outcome{}, fault.Wrap(fault.VersionConflict, err, fmt.Sprintf("%s %s was removed since version %d", o.Kind, o.Name, o.Version))
	}
	if e != nil {
		return Outcome{}, oops.In("apply").Wrapf(e, "reading %s %s", o.Kind, o.Name)
	}
	if api.SameJSON(current.Spec, o.Spec) {
		return Outcome{Object: current}, nil
	}
	return Outcome{}, conflict(o, current)
}

func conflict(o, current api.Object) error {
	d := fmt.Sprintf("%s %s is at version %d, not at %d; nothing was changed. It is:\n%s", o.Kind, o.Name, current.Version, o.Version, FormatYAML(current))
	return fault.New(fault.VersionConflict, d)
}

// maxEditAttempts bounds the attempts of an edit that conflicts with other
// operators' changes.
const maxEditAttempts = 8

// Edit changes one field of a resource. It retries on a conflict, so that concurrent
// changes to other fields are preserved.
func Edit(ctx context.Context, s Store, k api.ResourceKind, n, field string, value any) (Outcome, error) {
	var err error
	for range maxEditAttempts {
		var o api.Object
		if o, err = s.Get(ctx, k, n); err != nil {
			return Outcome{}, oops.In("edit").Wrapf(err, "reading %s %s", k, n)
		}
		var m map[string]any
		if err := json.Unmarshal(o.Spec, &m); err != nil {
			return Outcome{}, fault.Wrap(fault.InvalidResource, err, string(k)+" "+n)
		}
		if m[field] == value {
			return Outcome{Object: o}, nil
		}
		m[field] = value
		if o.Spec, err = json.Marshal(m); err != nil {
			return Outcome{}, fault.Wrap(fault.Internal, err, "encoding a spec")
		}
		if err = Check(o); err != nil {
			return Outcome{}, err
		}
		if o, err = s.PutConfirmed(ctx, o); err == nil {
			return Outcome{Object: o, Changed: true}, nil
		}
		if !fault.Has(err, fault.VersionConflict) {
			break
		}
	}
	return Outcome{}, oops.In("edit").Wrapf(err, "changing %s of %s %s", field, k, n)
}
