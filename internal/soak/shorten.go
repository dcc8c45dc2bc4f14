package soak

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
)

// shortenAttempts is how often each shortened plan is played: with two attempts, a failure
// that occurs in half of the plays is still usually found.
const shortenAttempts = 2

// Shorten searches for a plan with fewer faults that violates the same property, and saves
// it in the folder of the original plan.
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

// fails reports whether a plan violates a property in one of shortenAttempts plays.
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
