// Package admin is the HTTP interface for operators: the document, zones, instances, keys, status, health and metrics.
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

// Viewer gives the current view and says whether it is confirmed.
type Viewer interface {
	View() fleet.View
	Fresh() error
}

// Editor changes the view in one transaction.
type Editor interface {
	Edit(ctx context.Context, author string, change func(fleet.View) ([]fleet.Item, error)) (uint64, error)
}

// Auditor reads up to limit audit records after a revision, oldest first.
type Auditor interface {
	Audit(ctx context.Context, after uint64, limit int) ([]AuditRecord, error)
}

// Local reports the state of this entry instance.
type Local interface {
	EntryStatus() EntryStatus
}

// Peers asks another entry instance for its status.
type Peers interface {
	Status(ctx context.Context, m fleet.Member) (peer.StatusReply, error)
}

// Options are the parts that a Server works with.
type Options struct {
	Self   func() fleet.EntryID
	Viewer Viewer
	Editor Editor
	Audit  Auditor
	Local  Local
	Peers  Peers
	Burn   *burn.Recorder
	// Token is the operators' own credential; empty means that only keys with the admin role are accepted.
	Token string
	// Failed names the instances known to be unreachable; they don't count as available. It may be nil.
	Failed func() []fleet.InstanceID
	// Ready says why this entry instance should get no requests, or nil. It may be nil.
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

// New returns a server; a missing Log, Metrics or Burn is replaced by an empty one.
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
	s.handler = alice.New(s.recovered, limited).Then(s.routes())
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) { s.handler.ServeHTTP(w, q) }

func (s *Server) routes() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /healthz", s.health)
	m.HandleFunc("GET /readyz", s.ready)
	m.HandleFunc("GET /metrics", s.metrics)
	for pattern, h := range map[string]handler{
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

// handler answers an authenticated request or returns the refusal to send.
type handler func(w http.ResponseWriter, q *http.Request, a actor) error

func (s *Server) authenticated(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		a, err := s.authenticate(q)
		if err == nil {
			err = h(w, q, a)
		}
		if err != nil {
			s.refuse(w, q, a, err)
		}
	})
}

func limited(next http.Handler) http.Handler { return http.MaxBytesHandler(next, spec.MaxText) }

func (s *Server) recovered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				s.Log.Error("admin: request handler panicked", zap.String("path", q.URL.Path), zap.Any("panic", p), zap.Stack("stack"))
				writeProblem(w, reject.New(reject.KindInternal, reject.WorkUnknown, "internal error"))
			}
		}()
		next.ServeHTTP(w, q)
	})
}

func (s *Server) refuse(w http.ResponseWriter, q *http.Request, a actor, err error) {
	s.Log.Info("admin: request refused", zap.String("method", q.Method), zap.String("path", q.URL.Path),
		zap.String("author", a.name), zap.Error(err))
	writeProblem(w, err)
}

// edit applies a change on behalf of an actor whose rights are checked again in the view the change is based on.
// The answer to the request is the revision at which the change is in force.
func (s *Server) edit(q *http.Request, a actor, change func(fleet.View) ([]fleet.Item, error)) (uint64, error) {
	if err := s.Viewer.Fresh(); err != nil {
		return 0, err
	}
	start := time.Now()
	revision, err := s.Editor.Edit(q.Context(), a.name, func(v fleet.View) ([]fleet.Item, error) {
		if err := a.reconfirm(v); err != nil {
			return nil, err
		}
		return change(v)
	})
	if err != nil {
		return revision, editError{revision: revision, cause: err}
	}
	s.Log.Info("admin: edit in force", zap.String("path", q.URL.Path), zap.String("author", a.name),
		zap.Uint64("revision", revision), zap.Duration("took", time.Since(start)))
	return revision, nil
}
