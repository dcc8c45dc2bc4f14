package step

import (
	"time"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/event"
)

// Step is one named piece of work on a context of type C.
type Step[C any] interface {
	// String returns the name of the step in logs.
	String() string
	// Run does the work.
	Run(ctx C) error
}

// Skipper is a step that may have nothing to do.
type Skipper[C any] interface {
	// Skip reports whether the step has nothing to do.
	Skip(ctx C) bool
}

// Defaulter is a step that sets defaults before any step runs.
type Defaulter[C any] interface {
	// Default fills in what the settings do not specify.
	Default(ctx C)
}

// Run sets all defaults, then runs the steps in order and stops at the first
// failure, which it returns with the step's name.
func Run[C any](ctx C, l *event.Log, steps []Step[C]) error {
	for _, s := range steps {
		if d, ok := s.(Defaulter[C]); ok {
			d.Default(ctx)
		}
	}
	for _, s := range steps {
		if err := runOne(ctx, l, s); err != nil {
			return oops.In(s.String()).Wrap(err)
		}
	}
	return nil
}

// runOne runs or skips one step and logs the result.
func runOne[C any](ctx C, l *event.Log, s Step[C]) error {
	if k, ok := s.(Skipper[C]); ok && k.Skip(ctx) {
		l.Emit(event.StepSkipped, zap.String("step", s.String()))
		return nil
	}
	b := time.Now()
	err := s.Run(ctx)
	l.Emit(event.StepDone, zap.String("step", s.String()), zap.Duration("took", time.Since(b)), zap.Error(err))
	return err
}
