// Package host runs one entry instance on a platform that stores the durable state: it serves callers, watches the
// operators' rules and is a candidate for leadership.
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

	"github.com/yuccahaven/yuccahaven/internal/model/speed"
	"github.com/yuccahaven/yuccahaven/internal/serve/inlet"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
	"github.com/yuccahaven/yuccahaven/internal/serve/relay"
	"github.com/yuccahaven/yuccahaven/internal/serve/router"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// headerTimeout, idleTimeout and maxHeaderBytes bound callers' connections.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
	// readTimeout and writeTimeout bound the reading of a request with its body and the writing of its response, so that
	// slow callers don't occupy resources for long. Requests wait for at most 3 s in between, unless their queue's
	// time-out is longer.
	readTimeout  = 8 * time.Second
	writeTimeout = 15 * time.Second
	// balancerNoticeTime is how long the load balancer takes to notice that an instance is not ready: two checks, one a
	// second.
	balancerNoticeTime = 2500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the exit of the process.
	exitMargin = 800 * time.Millisecond
)

// Options are the dependencies and settings of a Host.
type Options struct {
	Name, Zone string
	// Callers, Ready, Peers and Metrics are the addresses to listen on; Peers is also where peers reach this instance.
	Callers, Ready, Peers, Metrics string
	// ElectionDelay returns by how much this instance's attempts to acquire leadership are delayed if its process runs
	// slower than usual by a factor.
	ElectionDelay func(slowdown float64) time.Duration
	// Share is the processor time that the process may use, in cores; 0 if that is not known.
	Share float64
	// Grace is the time that the shutdown may take.
	Grace time.Duration
	// Boot identifies this process among those of the instance.
	Boot string
	// Secret reads the secret that the peers share.
	Secret func(context.Context) (string, error)
	// Succession turns on fast takeover from a lost leader; see docs/design/succession.md.
	Succession bool
	Leader     leader.Options
	Rules      *rules.Cache
	// WatchRules updates Rules until the context ends.
	WatchRules func(context.Context)
	// Inlet bounds callers' connections, Front returns the handler of their requests.
	Inlet    *inlet.Inlet
	Front    func(*router.Router) http.Handler
	Registry metrics.Registry
	Log      *zap.Logger
}

// Host is one entry instance.
type Host struct {
	Options
	// router and front are nil until the peers' secret has been read.
	router       atomic.Pointer[router.Router]
	front        atomic.Pointer[http.Handler]
	elector      atomic.Pointer[elect.Elector]
	shuttingDown atomic.Bool
	usage        usage
	leader       *leader.Service
	speed        *speed.Monitor
}

// New returns a host that is not running yet.
func New(o Options) *Host {
	h := &Host{Options: o, speed: speed.NewMonitor(o.Registry, o.Log)}
	o.Leader.ElectionDelay = h.currentElectionDelay
	o.Leader.StartsRecorded = h.startsRecorded
	o.Leader.Zone = o.Zone
	o.Leader.Cores = h.usage.cores
	o.Leader.Delay = h.speed.Delay
	h.leader = leader.New(o.Leader)
	return h
}

// currentElectionDelay returns the election delay at the present speed of the process.
func (h *Host) currentElectionDelay() time.Duration { return h.ElectionDelay(h.speed.Slowdown()) }

// startsRecorded reports whether the store holds all starts of the leader of a term, as far as that leader has told this process.
func (h *Host) startsRecorded(term int64) bool {
	r := h.router.Load()
	return r != nil && r.StartsRecorded(term)
}

// Run serves until the context ends, and then answers the requests in flight within the grace period. It returns an
// error at once if it can't listen on an address or one of its HTTP servers fails.
func (h *Host) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := &http.Server{Handler: http.HandlerFunc(h.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(h.Log)}
	ready := &http.Server{Handler: http.HandlerFunc(h.ready), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ReadTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(h.Log)}
	metrics := &http.Server{Handler: h.operators(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ReadTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: zap.NewStdLog(h.Log)}
	listen := func(_ context.Context, address string) (net.Listener, error) { return net.Listen("tcp", address) }
	failed := make(chan error, 4)
	for _, x := range []struct {
		address string
		listen  func(context.Context, string) (net.Listener, error)
		serve   func(net.Listener) error
	}{
		{h.Callers, h.Inlet.Listen, func(l net.Listener) error { return h.Inlet.Serve(callers, l) }},
		{h.Ready, listen, ready.Serve},
		{h.Metrics, listen, metrics.Serve},
	} {
		l, err := x.listen(runCtx, x.address)
		if err != nil {
			return fmt.Errorf("host: %w", err)
		}
		go func() {
			if err := x.serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- fmt.Errorf("host: serve on %s: %w", x.address, err)
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
	loops.Go(func() { h.WatchRules(runCtx) })
	loops.Go(func() { h.speed.Run(runCtx) })
	loops.Go(func() { h.usage.run(runCtx) })
	loops.Go(func() { h.join(runCtx, peers) })
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	h.shutDown(callers)
	cancel()
	_ = ready.Close()
	_ = metrics.Close()
	_ = peers.Close()
	loops.Wait()
	h.Log.Info("host: stopped", zap.String("name", h.Name))
	return nil
}

// join waits for the peers' secret, then serves callers and peers and is a candidate for leadership until the context
// ends.
func (h *Host) join(ctx context.Context, l net.Listener) {
	secret := h.secret(ctx)
	if ctx.Err() != nil {
		return
	}
	client := peer.NewClient(secret)
	defer func() { _ = client.Close() }()
	r := router.New(h.Name, h.Rules, h.leader, client, h.Log)
	self := elect.Identity{Name: h.Name, Boot: h.Boot, Address: h.Peers}
	e := elect.NewElector(h.Leader.Store, self, h.leader, r, h.Log)
	h.elector.Store(e)
	e.ElectionDelay = h.currentElectionDelay
	e.Succession = h.Succession
	e.ShuttingDown = h.shuttingDown.Load
	r.SetLeaderTracker(e)
	r.Succession = h.Succession
	if h.Succession {
		r.SetChecks(router.CheckOptions{Started: e.StartCheck, Instances: h.instances, Registry: h.Registry})
		e.Checker, e.TakeoverTime = r, takeoverTime(h.Registry)
	}
	r.SetCandidacy(router.Candidacy{Address: h.Peers, Zone: h.Zone, Boot: h.Boot, ElectionDelay: h.currentElectionDelay, Relays: true})
	h.leader.OfferLeadership = r.OfferLeadership
	h.leader.AskForTerm = r.AskForTerm
	h.leader.OpenRelay = func(ctx context.Context, address string) (relay.OrderStream, error) {
		return peer.Open(ctx, client, address, peer.MethodRelay)
	}
	a := &elect.Announcer{Store: h.Leader.Store, Self: self, HeardRecently: h.leader.HeardRecently,
		AnnounceLeader: r.AnnounceLeader, Log: h.Log,
		Leader: func() (elect.LeaderRecord, bool) {
			record, ok := e.Leader()
			return record, ok && h.leader.IsLeader()
		}}
	r.Registry = h.Registry
	if h.Succession {
		e.Acquired = a.Acquired
		h.leader.Loaded = func(term int64) {
			r.LeaderReady(term)
			a.Loaded(term)
		}
	}
	server := peer.NewServer(secret, peer.WithLog(h.Log))
	r.Serve(server)
	relay.NewServer(h.Leader.Workers, func() int64 {
		record, _ := e.Leader()
		return record.Term
	}, h.Registry, h.Log).Register(server)
	front := h.Front(r)
	h.front.Store(&front)
	h.router.Store(r)
	var loops sync.WaitGroup
	loops.Go(func() { e.Run(ctx) })
	loops.Go(func() { r.Run(ctx) })
	loops.Go(func() { a.Run(ctx) })
	loops.Go(func() {
		if err := server.Serve(ctx, l); err != nil && ctx.Err() == nil {
			h.Log.Error("host: serving peers failed", zap.Error(err))
		}
	})
	loops.Wait()
}

// secretBackoff is the pause after a failed read of the secret.
const secretBackoff = 200 * time.Millisecond

func (h *Host) secret(ctx context.Context) string {
	for ctx.Err() == nil {
		s, err := h.Secret(ctx)
		if err == nil && s != "" {
			return s
		}
		h.Log.Warn("host: reading the peers' secret failed, retrying", zap.Error(err))
		select {
		case <-time.After(secretBackoff):
		case <-ctx.Done():
		}
	}
	return ""
}

func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	front := h.front.Load()
	if front == nil {
		w.Header().Set("Retry-After", "1")
		if r.ContentLength != 0 {
			// The response would wait for the rest of the body.
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	(*front).ServeHTTP(w, r)
}

// ready answers the load balancer's check whether this instance takes connections.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether this instance takes callers' requests. If all are isolated, the load balancer uses all.
func (h *Host) isReady() bool {
	r := h.router.Load()
	return !h.shuttingDown.Load() && r != nil && r.Config() != nil && !r.Isolated()
}

// shutDown releases leadership, waits until the load balancer notices and answers the requests in flight, all within
// the grace period less exitMargin.
func (h *Host) shutDown(callers *http.Server) {
	h.Log.Info("host: stopping", zap.Bool("seat", h.leader.IsLeader()), zap.Duration("grace", h.Grace))
	deadline := time.Now().Add(h.Grace - exitMargin)
	h.shuttingDown.Store(true)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	h.leader.StepDown(ctx)
	select {
	case <-time.After(balancerNoticeTime):
	case <-ctx.Done():
	}
	if err := callers.Shutdown(ctx); err != nil {
		h.Log.Warn("host: requests in flight not answered within the grace period, exiting", zap.Error(err))
	}
}
