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

// stopLimit bounds the time a stand-in lets its calls run at the end.
const stopLimit = 30 * time.Second

func logStarted(l *event.Log, what, name, address string) {
	l.Emit(event.StandInStarted, zap.String("stand_in", what), zap.String("name", name), zap.String("address", address))
}

// Platform serves a stand-in of the platform.
func Platform(ctx context.Context, address string, s *platform.Server, l *event.Log) error {
	logStarted(l, "platform", "platform", address)
	// Its watches wait long, so they are not waited for at the end.
	const limit = 100 * time.Millisecond
	return wire.Serve(ctx, address, trace.Handler("platform", s.Handler()), limit)
}

// Engine serves a stand-in of a model engine; at the end it says that it is
// leaving and lets its streams run out.
func Engine(ctx context.Context, address string, o engine.Options, l *event.Log) error {
	e := engine.New(o, l)
	g, end := duty.New(context.WithoutCancel(ctx))
	defer end()
	g.Go(e.Run)
	defer context.AfterFunc(ctx, e.Leave)()
	logStarted(l, "engine", string(o.Name), address)
	return wire.Serve(ctx, address, trace.Handler("engine", e.Handler()), stopLimit)
}

// Service serves a stand-in of a plain service.
func Service(ctx context.Context, address string, n api.ServerName, l *event.Log) error {
	logStarted(l, "service", string(n), address)
	return wire.Serve(ctx, address, trace.Handler("service", service.New(n).Handler()), stopLimit)
}
