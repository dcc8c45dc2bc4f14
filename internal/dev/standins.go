package dev

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/duty"
	"github.com/wardridge/wardridge/internal/event"
	"github.com/wardridge/wardridge/internal/standin/engine"
	"github.com/wardridge/wardridge/internal/standin/platform"
	"github.com/wardridge/wardridge/internal/standin/service"
	"github.com/wardridge/wardridge/internal/trace"
	"github.com/wardridge/wardridge/internal/wire"
)

// stopLimit bounds the time for which a stand-in lets its calls finish when it stops.
const stopLimit = 30 * time.Second

func logStarted(l *event.Log, what, name, address string) {
	l.Emit(event.StandInStarted, zap.String("stand_in", what), zap.String("name", name), zap.String("address", address))
}

// Platform serves a stand-in of the platform until the context ends.
func Platform(ctx context.Context, address string, s *platform.Server, l *event.Log) error {
	logStarted(l, "platform", "platform", address)
	// Watches may stay open for long, so a stop waits for them only briefly.
	const limit = 100 * time.Millisecond
	return wire.Serve(ctx, address, trace.Handler("platform", s.Handler()), limit)
}

// Engine serves a stand-in of a model engine. When the context ends, the engine
// announces that it is leaving and lets its streams finish.
func Engine(ctx context.Context, address string, o engine.Options, l *event.Log) error {
	e := engine.New(o, l)
	g, end := duty.New(context.WithoutCancel(ctx))
	defer end()
	g.Go(e.Run)
	defer context.AfterFunc(ctx, e.Leave)()
	logStarted(l, "engine", string(o.Name), address)
	return wire.Serve(ctx, address, trace.Handler("engine", e.Handler()), stopLimit)
}

// Service serves a stand-in of a plain service until the context ends.
func Service(ctx context.Context, address string, n api.ServerName, l *event.Log) error {
	logStarted(l, "service", string(n), address)
	return wire.Serve(ctx, address, trace.Handler("service", service.New(n).Handler()), stopLimit)
}
