// Package node builds an entry instance from its settings, serves callers, operators and peers, and shuts down
// gracefully.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/plan/spare"
	"github.com/yuccahaven/yuccahaven/internal/plan/upkeep"
	"github.com/yuccahaven/yuccahaven/internal/plat/object"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/sched/admit"
	"github.com/yuccahaven/yuccahaven/internal/sched/alloc"
	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
	"github.com/yuccahaven/yuccahaven/internal/serve/burn"
	"github.com/yuccahaven/yuccahaven/internal/serve/runner"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
	"github.com/yuccahaven/yuccahaven/internal/state/grant"
	"github.com/yuccahaven/yuccahaven/internal/state/member"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

var errStarting = errors.New("node: instance is starting and has no coordinator yet")

// Node is one entry instance.
type Node struct {
	settings     *Settings
	log          *zap.Logger
	registry     metrics.Registry
	httpListener net.Listener
	peerListener net.Listener
	callerTLS    *certificates
	peerTLS      *certificates

	peers          *peer.Client
	replica        *view.Replica
	registrar      *member.Registrar
	grants         *grant.Manager
	claims         *claim.Repository
	memory         *admit.Memory
	runner         *runner.Runner
	allocator      *allocator
	rosterWatcher  *rosterWatcher
	reachability   *reachability
	upkeepPlanner  *upkeep.Planner
	rosterFollower *upkeep.Follower
	sparePlanner   *spare.Planner
	burn           *burn.Recorder
	admin          *admin.Server
	stopping       atomic.Bool

	connections   connections
	findingsCache findingsCache
}

// New listens on the configured addresses and builds the components; s must have passed Check, and Run must be called
// next.
func New(s *Settings, log *zap.Logger) (*Node, error) {
	n := &Node{settings: s, log: log, registry: metrics.NewRegistry()}
	if err := n.loadCertificates(); err != nil {
		return nil, err
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.assemble()
	return n, nil
}

// Address returns the listen address for callers and operators.
func (n *Node) Address() string { return n.httpListener.Addr().String() }

func (n *Node) loadCertificates() error {
	var err error
	if n.settings.Certificate != "" {
		if n.callerTLS, err = newCertificates(n.settings.Certificate, n.settings.Key, ""); err != nil {
			return err
		}
	}
	if n.settings.PeerCertificate != "" {
		n.peerTLS, err = newCertificates(n.settings.PeerCertificate, n.settings.PeerKey, n.settings.PeerCA)
	}
	return err
}

func (n *Node) listen() error {
	var err error
	if n.httpListener, err = net.Listen("tcp", n.settings.Listen); err != nil {
		return fmt.Errorf("node: %w", err)
	}
	if n.peerListener, err = net.Listen("tcp", n.settings.PeerListen); err != nil {
		return errors.Join(fmt.Errorf("node: %w", err), n.httpListener.Close())
	}
	return nil
}

func (n *Node) assemble() {
	s := n.settings
	t, o, w := table.NewClient(s.Table), object.NewClient(s.Object), worker.NewClient()
	l := roster.NewShared(roster.NewClient(s.Roster))
	n.peers = peer.NewClient(s.PeerToken, n.peerOptions()...)
	self := member.NewID(s.Name)
	n.replica = view.New(self, t, n.peers, decode, view.WithLog(n.logger("view")), view.WithSeeds(n.seedAddresses(l)),
		view.WithExited(func(id fleet.EntryID) bool { return n.registrar.ProcessExited(id) }))
	n.registrar = member.New(s.Name, n.member(self), n.replica, l, member.WithLog(n.logger("member")),
		member.WithRemoved(n.handleRemoval))
	n.grants = grant.New(self, n.replica, t, n.peers, grant.WithLog(n.logger("grant")), grant.WithMetrics(n.registry))
	n.claims = claim.New(func() fleet.EntryID { return n.registrar.Self().ID }, t, o, claim.WithLog(n.logger("claim")),
		claim.WithMetrics(n.registry))
	n.memory = admit.NewMemory(s.bodyMemory)
	n.rosterWatcher = &rosterWatcher{roster: l, log: n.logger("roster")}
	n.reachability = &reachability{views: n.replica, prober: w, leads: n.leads}
	n.runner = runner.New(runner.Options{Views: n.replica, Workers: w, Grants: n.grants, Records: n.claims, Objects: o,
		Members: n.registrar, Roster: n.rosterWatcher, Owners: owners{n.peers}, Log: n.logger("runner"), Metrics: n.registry,
		Memory: n.memory})
	n.allocator = &allocator{views: n.replica, prober: w, source: n.runner, peers: n.peers}
	n.runner.Attach(n.allocator)
	n.upkeepPlanner = upkeep.New(upkeep.Options{Views: n.replica, Prober: w, Platform: l, Leads: n.leads,
		Failed: n.reachability.failed, Log: n.logger("upkeep")})
	n.rosterFollower = upkeep.NewFollower(upkeep.FollowerOptions{Views: n.replica, Roster: l,
		Leads: func() bool { return n.leads(fleetWide) }, Failed: n.reachability.failed, Log: n.logger("upkeep")})
	n.burn = burn.NewRecorder()
	n.admin = n.newAdminServer()
	n.sparePlanner = spare.New(spare.Options{Views: n.replica, Demands: n.admin.Demands,
		Leads: func() bool { return n.leads(fleetWide) }, Failed: n.reachability.failed, Policy: s.sparePolicy,
		Log: n.logger("spare")})
}

// fleetWide replaces the pool name in ranking for work that belongs to no single pool. No pool can have this name,
// because it is not a valid one.
const fleetWide fleet.PoolName = "*"

// leads reports whether this instance ranks first among the live members for a pool. Two instances that lead at the
// same time are safe, because edits are conditional on the view's revision.
func (n *Node) leads(p fleet.PoolName) bool {
	for _, m := range alloc.Rank(n.replica.View().Members(), p) {
		if n.registrar.Alive(m.ID) {
			return m.ID == n.registrar.Self().ID
		}
	}
	return false
}

// logger returns the logger of a component, whose name is in the field "part" of each line.
func (n *Node) logger(name string) *zap.Logger { return n.log.Named(name) }

func (n *Node) member(self fleet.EntryID) fleet.Member {
	return fleet.Member{ID: self, Zone: fleet.AvailabilityZone(n.settings.Zone),
		Address: firstOf(n.settings.PeerAdvertise, n.peerListener.Addr().String()),
		Caller:  firstOf(n.settings.Advertise, n.httpListener.Addr().String())}
}

func firstOf(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func (n *Node) peerOptions() []peer.ClientOption {
	if n.peerTLS == nil {
		return nil
	}
	return []peer.ClientOption{peer.WithClientTLS(n.peerTLS.peerClientConfig)}
}

// seedAddresses returns the addresses of live entry instances that can supply the view if the store is down at startup.
func (n *Node) seedAddresses(l *roster.Shared) func(context.Context) ([]string, error) {
	return func(ctx context.Context) ([]string, error) {
		listings, err := l.List(ctx)
		var addresses []string
		for _, i := range listings {
			if i.Kind == roster.Entry && i.State == roster.Live {
				addresses = append(addresses, i.Address)
			}
		}
		return addresses, err
	}
}

// handleRemoval drops the work of an incarnation that was removed from the members and prepares the next one. It waits
// until the tasks have ended or their leases have expired, because only then do their ceiling units count as returned.
func (n *Node) handleRemoval(ctx context.Context, next fleet.EntryID) {
	n.log.Warn("node: this instance was removed from the members, dropping all its work")
	n.runner.AbandonAll()
	n.runner.AwaitEnd(ctx)
	n.grants.Reset(next)
	n.allocator.restart(ctx, next)
}

// owners queries other entry instances about tasks.
type owners struct{ peers *peer.Client }

// Task implements runner.Owners.
func (o owners) Task(ctx context.Context, address string, q peer.TaskRequest) (peer.TaskReply, error) {
	return peer.Call(ctx, o.peers, address, peer.MethodTask, q)
}

// Run serves until the context ends and then shuts down gracefully. If the HTTP server fails, it returns the error
// without the graceful shutdown.
func (n *Node) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	n.start(serveCtx, &wg)
	server := n.newHTTPServer(serveCtx)
	failed := make(chan error, 1)
	go func() { failed <- n.serveHTTP(server) }()
	n.log.Info("node: serving", zap.String("address", n.Address()), zap.String("peers", n.peerListener.Addr().String()))
	if n.settings.Document != "" {
		wg.Go(func() { n.seedDocument(serveCtx) })
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		return fmt.Errorf("node: %w", err)
	}
	n.shutDown(server)
	cancel()
	wg.Wait()
	return n.peers.Close()
}

func (n *Node) seedDocument(ctx context.Context) {
	if err := seed(ctx, n.replica, n.settings.Document, n.log); err != nil && ctx.Err() == nil {
		n.log.Error("node: seeding the document failed, serving goes on", zap.Error(err))
	}
}

func (n *Node) start(ctx context.Context, wg *sync.WaitGroup) {
	n.allocator.restart(ctx, n.registrar.Self().ID)
	for _, run := range []func(context.Context){n.replica.Run, n.registrar.Run, n.grants.Run, n.claims.Run, n.runner.Run,
		n.rosterWatcher.run, n.reachability.run, n.upkeepPlanner.Run, n.rosterFollower.Run, n.sparePlanner.Run,
		n.sweepRecords, n.servePeers} {
		wg.Go(func() { run(ctx) })
	}
}

// sweepRecords deletes old task records; the first instance in rank also deletes those of former members.
func (n *Node) sweepRecords(ctx context.Context) {
	live := func(id fleet.EntryID) bool { _, ok := n.replica.View().Member(id); return ok }
	responsible := func(fleet.EntryID) bool { return n.leads(fleetWide) }
	pace.After(ctx, claim.SweepInterval, func(ctx context.Context) {
		if err := n.claims.Sweep(ctx, live, responsible); err != nil {
			n.log.Warn("claim: deleting old task records failed, retrying at the next sweep", zap.Error(err))
		}
	})
}

func (n *Node) servePeers(ctx context.Context) {
	s := peer.NewServer(n.settings.PeerToken, peer.WithLog(n.log))
	peer.Handle(s, peer.MethodSync, n.replica.HandleSync)
	peer.Handle(s, peer.MethodPush, n.replica.HandlePush)
	peer.Handle(s, peer.MethodNotifyGrants, n.grants.HandleNotifyGrants)
	peer.Handle(s, peer.MethodPoll, n.allocator.handlePoll)
	peer.Handle(s, peer.MethodTask, n.runner.HandleTask)
	peer.Handle(s, peer.MethodStatus, n.admin.HandleStatus)
	l := n.peerListener
	if n.peerTLS != nil {
		l = tls.NewListener(l, n.peerTLS.peerServerConfig())
	}
	if err := s.Serve(ctx, l); err != nil && ctx.Err() == nil {
		n.log.Error("node: peer server failed, other entry instances can't reach this one", zap.Error(err))
	}
}

func (n *Node) serveHTTP(s *http.Server) error {
	if n.callerTLS != nil {
		s.TLSConfig = n.callerTLS.callerConfig()
		return s.ServeTLS(n.httpListener, "", "")
	}
	return s.Serve(n.httpListener)
}
