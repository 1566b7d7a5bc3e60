// Package caller is the HTTP API for callers: it authenticates requests, turns them into jobs and writes answers and
// problem documents.
package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/justinas/alice"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
	"github.com/yuccahaven/yuccahaven/internal/serve/runner"
)

// Tasks runs jobs and looks up and cancels tasks.
type Tasks interface {
	Submit(ctx context.Context, j runner.Job) (runner.Answer, error)
	SubmitAsync(ctx context.Context, j runner.Job) (string, error)
	Get(ctx context.Context, t fleet.TeamName, id string, wait time.Duration) (runner.Progress, error)
	Cancel(t fleet.TeamName, id string) error
}

// Views returns the current view and whether it is confirmed.
type Views interface {
	View() fleet.View
	Fresh() error
}

// Observation describes one answered submission.
type Observation struct {
	Queue fleet.QueueName
	// Team is the team of the queue, or "" if the submission was rejected before it was authorized.
	Team fleet.TeamName
	// Kind is the reason of a rejection, or "" if the submission was not rejected.
	Kind reject.Kind
	// Accepted is true for an asynchronous job, which is only recorded at this point.
	Accepted bool
	Took     time.Duration
}

// Observer receives an Observation of each answered submission.
type Observer interface {
	Observe(o Observation)
}

const (
	defaultMaxBodyBytes = 8 << 20
	defaultBodyTimeout  = 30 * time.Second
	// writeTimeout bounds how long a caller may take to read an answer, maxWait how long one poll waits for it.
	writeTimeout = 30 * time.Second
	maxWait      = 20 * time.Second
)

// API is the HTTP API for callers.
type API struct {
	tasks       Tasks
	views       Views
	keys        *keyring
	log         *zap.Logger
	registry    metrics.Registry
	observer    Observer
	bodyTimeout time.Duration
	memory      *admit.Memory
}

// Option changes an API.
type Option func(*API)

// WithLog sets the log; the default discards everything.
func WithLog(l *zap.Logger) Option { return func(a *API) { a.log = l } }

// WithRegistry sets the registry of the request metrics.
func WithRegistry(r metrics.Registry) Option { return func(a *API) { a.registry = r } }

// WithObserver sets the observer of answered submissions.
func WithObserver(o Observer) Option { return func(a *API) { a.observer = o } }

// WithBodyTimeout sets how long a caller may take to send a body; the default is 30 s.
func WithBodyTimeout(d time.Duration) Option { return func(a *API) { a.bodyTimeout = d } }

// WithMemory sets the bound on the request bodies held in memory; the default is admit.DefaultMemory.
func WithMemory(m *admit.Memory) Option { return func(a *API) { a.memory = m } }

type noopObserver struct{}

func (noopObserver) Observe(Observation) {}

// New returns the HTTP API for callers.
func New(t Tasks, v Views, options ...Option) *API {
	a := &API{tasks: t, views: v, keys: &keyring{}, log: zap.NewNop(), registry: metrics.NewRegistry(),
		observer: noopObserver{}, bodyTimeout: defaultBodyTimeout,
		memory: admit.NewMemory(admit.DefaultMemory)}
	for _, o := range options {
		o(a)
	}
	return a
}

// Handler returns the handler of "/v1/queues/" and "/v1/tasks/".
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/queues/{queue}/tasks", a.submit)
	mux.HandleFunc("GET /v1/tasks/{id}", a.poll)
	mux.HandleFunc("DELETE /v1/tasks/{id}", a.cancel)
	return alice.New(a.recordMetrics, a.recoverPanics).Then(mux)
}

func (a *API) recordMetrics(next http.Handler) http.Handler {
	timer := metrics.GetOrRegisterTimer("caller.requests", a.registry)
	inflight := metrics.GetOrRegisterCounter("caller.inflight", a.registry)
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		start := time.Now()
		inflight.Inc(1)
		defer func() {
			inflight.Dec(1)
			timer.UpdateSince(start)
		}()
		next.ServeHTTP(w, q)
	})
}

// recoverPanics turns a panic into a problem document that reports the state of the work as unknown.
func (a *API) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		defer func() {
			if p := recover(); p != nil {
				a.log.Error("caller: request handler panicked, answering with an internal error",
					zap.Any("panic", p), zap.Stack("stack"))
				WriteProblem(w, reject.New(reject.KindInternal, reject.WorkUnknown, "internal error"))
			}
		}()
		next.ServeHTTP(w, q)
	})
}
