// Package host runs one entry instance on a platform that keeps what must last: it answers callers, follows the rules
// and is ready to hold the seat.
package host

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
	"github.com/yuccahaven/yuccahaven/internal/serve/router"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// headerTimeout and idleTimeout bound callers' connections.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	maxHeader     = 16 << 10
	// requestTimeout and answerTimeout bound the reading of a request with its body and the writing of its answer, so
	// that slow callers hold nothing for long. Requests wait for at most 3 s in between.
	requestTimeout = 8 * time.Second
	answerTimeout  = 15 * time.Second
	// noticeTime is how long the balancer takes to notice that an instance isn't ready: two checks, one a second.
	noticeTime = 2500 * time.Millisecond
	// exitMargin is what is left of the grace for the end of the process.
	exitMargin = 800 * time.Millisecond
)

// Options are what a Host is made of.
type Options struct {
	Name, Zone string
	// Callers, Ready, Peers and Metrics are the addresses listened on.
	Callers, Ready, Peers, Metrics string
	// ElectionDelay delays this instance's attempts at the seat.
	ElectionDelay time.Duration
	Grace         time.Duration
	Boot          string
	Secret        func(context.Context) (string, error)
	Leader        leader.Options
	Rules         *rules.Cache
	// WatchRules keeps the book until the context ends.
	WatchRules func(context.Context)
	// Front returns the callers' interface.
	Front    func(*router.Router) http.Handler
	Registry metrics.Registry
	Log      *zap.Logger
}

// Host is one entry instance.
type Host struct {
	Options
	gate    atomic.Pointer[router.Router]
	front   atomic.Pointer[http.Handler]
	stopped atomic.Bool
	master  *leader.Service
}

// New returns a host.
func New(o Options) *Host { return &Host{Options: o, master: leader.New(o.Leader)} }

// Run serves until the context ends and then until the requests in flight are answered.
func (h *Host) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	callers := &http.Server{Handler: http.HandlerFunc(h.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ReadTimeout: requestTimeout, WriteTimeout: answerTimeout, MaxHeaderBytes: maxHeader, ErrorLog: zap.NewStdLog(h.Log)}
	ready := &http.Server{Handler: http.HandlerFunc(h.ready), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: zap.NewStdLog(h.Log)}
	numbers := &http.Server{Handler: http.HandlerFunc(h.numbers), ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(h.Log)}
	failed := make(chan error, 4)
	for _, x := range []struct {
		server  *http.Server
		address string
	}{{callers, h.Callers}, {ready, h.Ready}, {numbers, h.Metrics}} {
		l, err := net.Listen("tcp", x.address)
		if err != nil {
			return fmt.Errorf("host: %w", err)
		}
		go func() {
			if err := x.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("host: %s: %w", x.address, err)
			}
		}()
	}
	peers, err := net.Listen("tcp", h.Peers)
	if err != nil {
		return fmt.Errorf("host: %w", err)
	}
	h.Log.Info("host: started", zap.String("name", h.Name), zap.String("zone", h.Zone), zap.String("boot", h.Boot),
		zap.String("callers", h.Callers), zap.String("peers", h.Peers))
	var loops sync.WaitGroup
	loops.Go(func() { h.WatchRules(life) })
	loops.Go(func() { h.join(life, peers) })
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	h.shutDown(callers)
	end()
	_ = ready.Close()
	_ = numbers.Close()
	_ = peers.Close()
	loops.Wait()
	h.Log.Info("host: stopped", zap.String("name", h.Name))
	return nil
}

// join takes part in the system as soon as its secret is known.
func (h *Host) join(ctx context.Context, l net.Listener) {
	secret := h.secret(ctx)
	if ctx.Err() != nil {
		return
	}
	client := peer.NewClient(secret)
	defer func() { _ = client.Close() }()
	g := router.New(h.Name, h.Rules, h.master, client, h.Log)
	self := elect.Identity{Name: h.Name, Boot: h.Boot, Address: h.Peers}
	e := elect.NewElector(h.Leader.Store, self, h.master, g, h.Log)
	e.ElectionDelay = h.ElectionDelay
	e.ShuttingDown = h.stopped.Load
	g.SetLeaderTracker(e)
	a := &elect.Announcer{Store: h.Leader.Store, Self: self, HeardRecently: h.master.HeardRecently, AnnounceLeader: g.AnnounceLeader, Log: h.Log,
		Leader: func() (elect.LeaderRecord, bool) {
			s, ok := e.Leader()
			return s, ok && h.master.IsLeader()
		}}
	server := peer.NewServer(secret)
	g.Serve(server)
	front := h.Front(g)
	h.front.Store(&front)
	h.gate.Store(g)
	var loops sync.WaitGroup
	loops.Go(func() { e.Run(ctx) })
	loops.Go(func() { g.Run(ctx) })
	loops.Go(func() { a.Run(ctx) })
	loops.Go(func() {
		if err := server.Serve(ctx, l); err != nil && ctx.Err() == nil {
			h.Log.Error("host: peers are not served", zap.Error(err))
		}
	})
	loops.Wait()
}

// secretPause is the pause between two reads of the secret.
const secretPause = 200 * time.Millisecond

func (h *Host) secret(ctx context.Context) string {
	for ctx.Err() == nil {
		s, err := h.Secret(ctx)
		if err == nil && s != "" {
			return s
		}
		h.Log.Warn("host: secret of the peers not read", zap.Error(err))
		select {
		case <-time.After(secretPause):
		case <-ctx.Done():
		}
	}
	return ""
}

func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	front := h.front.Load()
	if front == nil {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	(*front).ServeHTTP(w, r)
}

// ready tells the balancer whether to send connections here.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	g := h.gate.Load()
	if h.stopped.Load() || g == nil || g.Limits() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Host) numbers(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	admin.WriteMetrics(w, h.Registry)
}

// shutDown hands the seat over, lets the balancer notice and answers what is in flight.
func (h *Host) shutDown(callers *http.Server) {
	h.Log.Info("host: stopping", zap.Bool("seat", h.master.IsLeader()), zap.Duration("grace", h.Grace))
	ends := time.Now().Add(h.Grace - exitMargin)
	h.stopped.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	h.master.StepDown(ctx)
	select {
	case <-time.After(noticeTime):
	case <-ctx.Done():
	}
	if err := callers.Shutdown(ctx); err != nil {
		h.Log.Warn("host: requests not answered in time", zap.Error(err))
	}
}
