package soak

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
)

// shortenAttempts is how often a plan is played without some of its faults: what
// fails once in two plays is still found out mostly.
const shortenAttempts = 2

// Shorten looks for a plan with fewer faults that breaks a property as well, and
// leaves it in the folder of the whole one.
func Shorten(ctx context.Context, o Options, p Plan, k Property) error {
	for n := max(1, len(p.Faults)/2); n > 0; n /= 2 {
		for at := 0; at < len(p.Faults); {
			q := p
			q.Faults = slices.Delete(slices.Clone(p.Faults), at, min(at+n, len(p.Faults)))
			x := o
			x.Dir = filepath.Join(o.Dir, fmt.Sprintf("without-%d-%d", at, n))
			ok, err := fails(ctx, x, q, k)
			if err != nil {
				return err
			}
			if !ok {
				at += n
				continue
			}
			p = q
			if err := p.Save(filepath.Join(o.Dir, "short.json")); err != nil {
				return err
			}
		}
	}
	return nil
}

// fails reports whether a plan breaks a property in a few plays.
func fails(ctx context.Context, o Options, p Plan, k Property) (bool, error) {
	for range shortenAttempts {
		r, err := Run(ctx, o, p)
		if err != nil {
			return false, err
		}
		if slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Property == k }) {
			return true, nil
		}
	}
	return false, nil
}
