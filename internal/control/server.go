package control

import (
	"context"
	"net/http"
	"net/http/pprof"

	"github.com/go-chi/chi/v5"

	"github.com/wardridge/wardridge/internal/api"
	"github.com/wardridge/wardridge/internal/claims"
	"github.com/wardridge/wardridge/internal/decide/member"
	"github.com/wardridge/wardridge/internal/explain"
	"github.com/wardridge/wardridge/internal/fault"
	"github.com/wardridge/wardridge/internal/heartbeat"
	"github.com/wardridge/wardridge/internal/metric"
	"github.com/wardridge/wardridge/internal/peer"
	"github.com/wardridge/wardridge/internal/trace"
	"github.com/wardridge/wardridge/internal/wire"
)

// maxBodyBytes bounds the size of messages between entry VMs.
const maxBodyBytes = 64 << 10

// Options are the components that the control interface exposes.
type Options struct {
	Heartbeats *heartbeat.Tracker
	Peers      *peer.Client
	Claims     *claims.Claimer
	Explain    *explain.Recorder
	Metrics    *metric.Set
	Config     func() api.ObjectList
	Status     func() api.NodeStatus
}

// Server handles the requests of peers and operators.
type Server struct {
	Options
}

// New creates the control interface.
func New(p Options) *Server {
	return &Server{Options: p}
}

// Handler returns the routes of the control interface.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(peer.PathHeartbeat, s.heartbeat)
	r.Get(peer.PathConfig, s.config)
	r.Post(peer.PathAttempt, s.attempt)
	r.Get(peer.PathExplain+"{request}", s.explain)
	r.Get(peer.PathStatus, s.status)
	r.Get(peer.PathEngines, refuseEngines)
	r.Post(peer.PathPin, refuseEngines)
	r.Post(peer.PathUnpin, refuseEngines)
	r.Get(peer.PathHealth, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get(peer.PathMetrics, s.Metrics.ServeHTTP)
	r.Get("/debug/pprof/profile", pprof.Profile)
	r.Get("/debug/pprof/{name}", func(w http.ResponseWriter, r *http.Request) {
		pprof.Handler(chi.URLParam(r, "name")).ServeHTTP(w, r)
	})
	return trace.Handler("peer", r)
}

func (s *Server) heartbeat(w http.ResponseWriter, r *http.Request) {
	var b api.Heartbeat
	if err := wire.Read(w, r, maxBodyBytes, &b); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	reply, err := s.Heartbeats.HandleHeartbeat(b)
	if err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	wire.Write(w, http.StatusOK, reply)
}

func (s *Server) config(w http.ResponseWriter, _ *http.Request) {
	wire.Write(w, http.StatusOK, s.Config())
}

func (s *Server) attempt(w http.ResponseWriter, r *http.Request) {
	var q api.AttemptQuery
	if err := wire.Read(w, r, maxBodyBytes, &q); err != nil {
		wire.Refuse(w, fault.From(err), "")
		return
	}
	if q.Protocol != member.Protocol {
		wire.Refuse(w, fault.New(fault.PeerProtocol, "this entry VM uses another protocol version"), "")
		return
	}
	wire.Write(w, http.StatusOK, api.AttemptAnswer{Released: s.Claims.Release(q)})
}

// explain returns the record of a request. It queries the peers for a request that
// they handled, unless the query contains alone=true.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	id := api.RequestID(chi.URLParam(r, "request"))
	e, err := s.Explain.Find(id)
	if err != nil && !isAlone(r) {
		e, err = s.queryPeers(r.Context(), id, err)
	}
	if err != nil {
		wire.Refuse(w, fault.From(err), id)
		return
	}
	wire.Write(w, http.StatusOK, e)
}

// queryPeers returns the first record of a request that a peer has, or the error
// unknown.
func (s *Server) queryPeers(ctx context.Context, id api.RequestID, unknown error) (api.Explanation, error) {
	for _, a := range s.Heartbeats.Addresses() {
		if e, err := s.Peers.Explain(ctx, a, id, true); err == nil {
			return e, nil
		}
	}
	return api.Explanation{}, unknown
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	wire.Write(w, http.StatusOK, s.Status())
}
