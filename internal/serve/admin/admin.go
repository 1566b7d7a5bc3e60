// Package admin is the HTTP API for operators: the document, zones, instances, keys, status, health and metrics.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/justinas/alice"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
	"github.com/yuccahaven/yuccahaven/internal/serve/burn"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Viewer returns the current view and whether it is confirmed.
type Viewer interface {
	View() fleet.View
	Fresh() error
}

// Editor changes the view in one transaction.
type Editor interface {
	Edit(ctx context.Context, author string, change func(fleet.View) ([]fleet.Item, error)) (uint64, error)
}

// Auditor reads at most limit audit records after a revision, oldest first.
type Auditor interface {
	Audit(ctx context.Context, after uint64, limit int) ([]AuditRecord, error)
}

// Local reports the state of this entry instance.
type Local interface {
	EntryStatus() EntryStatus
}

// Peers requests the status of another entry instance.
type Peers interface {
	Status(ctx context.Context, m fleet.Member) (peer.StatusReply, error)
}

// Options are the settings and dependencies of a Server.
type Options struct {
	Self   func() fleet.EntryID
	Viewer Viewer
	Editor Editor
	Audit  Auditor
	Local  Local
	Peers  Peers
	Burn   *burn.Recorder
	// Token is the admin token; if it is empty, only keys with the admin role are accepted.
	Token string
	// Failed returns the instances known to be unreachable, which don't count as available. It may be nil.
	Failed func() []fleet.InstanceID
	// Ready returns why this entry instance should receive no requests, or nil if it is ready. The function may be nil.
	Ready   func() error
	Metrics metrics.Registry
	Log     *zap.Logger
	Version string
}

// Server answers operators' requests.
type Server struct {
	Options
	handler http.Handler
}

// New returns a server; a missing Log, Metrics, Burn, Failed or Ready is replaced by an empty one.
func New(o Options) *Server {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Burn == nil {
		o.Burn = burn.NewRecorder()
	}
	if o.Failed == nil {
		o.Failed = func() []fleet.InstanceID { return nil }
	}
	if o.Ready == nil {
		o.Ready = func() error { return nil }
	}
	s := &Server{Options: o}
	s.handler = alice.New(s.recoverPanics, limitBody).Then(s.routes())
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) { s.handler.ServeHTTP(w, q) }

func (s *Server) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /healthz", s.getHealth)
	m.HandleFunc("GET /readyz", s.getReady)
	m.HandleFunc("GET /metrics", s.getMetrics)
	for pattern, h := range map[string]actorHandler{
		"GET /v1/document/sections/{name...}":    s.getSection,
		"PUT /v1/document/sections/{name...}":    s.putSection,
		"DELETE /v1/document/sections/{name...}": s.deleteSection,
		"GET /v1/document":                       s.getDocument,
		"PUT /v1/document":                       s.putDocument,
		"POST /v1/document/check":                s.checkDocument,
		"GET /v1/status":                         s.getStatus,
		"POST /v1/instances/{id}/drain":          s.drain,
		"POST /v1/instances/{id}/undrain":        s.undrain,
		"POST /v1/instances/{id}/move":           s.move,
		"POST /v1/keys/{team}":                   s.grantKey,
		"DELETE /v1/keys/{team}/{id}":            s.withdrawKey,
		"GET /v1/audit":                          s.getAudit,
		"GET /v1/burn":                           s.getBurn,
	} {
		m.Handle(pattern, s.authenticated(h))
	}
	return m
}

// actorHandler answers an authenticated request or returns the error to reject it with.
type actorHandler func(w http.ResponseWriter, q *http.Request, a actor) error

func (s *Server) authenticated(h actorHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		a, err := s.authenticate(q)
		if err == nil {
			err = h(w, q, a)
		}
		if err != nil {
			s.reject(w, q, a, err)
		}
	})
}

func limitBody(next http.Handler) http.Handler { return http.MaxBytesHandler(next, spec.MaxTextBytes) }

func (s *Server) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				s.Log.Error("admin: request handler panicked, answering with an internal error",
					zap.String("path", q.URL.Path), zap.Any("panic", p), zap.Stack("stack"))
				writeProblem(w, reject.New(reject.KindInternal, reject.WorkUnknown, "internal error"))
			}
		}()
		next.ServeHTTP(w, q)
	})
}

func (s *Server) reject(w http.ResponseWriter, q *http.Request, a actor, err error) {
	s.Log.Info("admin: request refused", zap.String("method", q.Method), zap.String("path", q.URL.Path),
		zap.String("author", a.name), zap.Error(err))
	writeProblem(w, err)
}

// edit applies a change for an actor, whose key is checked again in the view that the change is based on. It returns
// the revision at which the change is in force.
func (s *Server) edit(q *http.Request, a actor, change func(fleet.View) ([]fleet.Item, error)) (uint64, error) {
	if err := s.Viewer.Fresh(); err != nil {
		return 0, err
	}
	start := time.Now()
	revision, err := s.Editor.Edit(q.Context(), a.name, func(v fleet.View) ([]fleet.Item, error) {
		if err := a.revalidate(v); err != nil {
			return nil, err
		}
		return change(v)
	})
	if err != nil {
		return revision, editError{revision: revision, cause: err}
	}
	s.Log.Info("admin: edit applied and confirmed", zap.String("path", q.URL.Path), zap.String("author", a.name),
		zap.Uint64("revision", revision), zap.Duration("took", time.Since(start)))
	return revision, nil
}
