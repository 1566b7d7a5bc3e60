// Package node assembles an entry instance from its settings, serves callers, operators and peers, and shuts down
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

var errStarting = errors.New("node: starting")

// Node is one entry instance.
type Node struct {
	settings  *Settings
	log       *zap.Logger
	registry  metrics.Registry
	httpAt    net.Listener
	peerAt    net.Listener
	callerTLS *certificates
	peerTLS   *certificates

	peers     *peer.Client
	keeper    *view.Replica
	registrar *member.Registrar
	book      *grant.Manager
	ledger    *claim.Repository
	memory    *admit.Memory
	runner    *runner.Runner
	scheduler *scheduler
	watch     *watch
	reach     *reach
	upkeep    *upkeep.Planner
	follower  *upkeep.Follower
	spares    *spare.Planner
	burn      *burn.Recorder
	admin     *admin.Server
	stopping  atomic.Bool

	connections connections
	decoding    decoding
}

// New listens on the addresses of checked settings and assembles the parts; Run must be called next.
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

// Address returns the address that callers and operators reach this process at.
func (n *Node) Address() string { return n.httpAt.Addr().String() }

func (n *Node) loadCertificates() error {
	var err error
	if n.settings.Certificate != "" {
		if n.callerTLS, err = newCertificates(n.settings.Certificate, n.settings.Key, ""); err != nil {
			return err
		}
	}
	if n.settings.PeerCertificate != "" {
		n.peerTLS, err = newCertificates(n.settings.PeerCertificate, n.settings.PeerKey, n.settings.PeerAuthority)
	}
	return err
}

func (n *Node) listen() error {
	var err error
	if n.httpAt, err = net.Listen("tcp", n.settings.Listen); err != nil {
		return fmt.Errorf("node: %w", err)
	}
	if n.peerAt, err = net.Listen("tcp", n.settings.PeerListen); err != nil {
		return errors.Join(fmt.Errorf("node: %w", err), n.httpAt.Close())
	}
	return nil
}

func (n *Node) assemble() {
	s := n.settings
	t, o, w := table.NewClient(s.Table), object.NewClient(s.Object), worker.NewClient()
	l := roster.NewShared(roster.NewClient(s.Roster))
	n.peers = peer.NewClient(s.PeerToken, n.peerOptions()...)
	self := member.NewID(s.Name)
	n.keeper = view.New(self, t, n.peers, decode, view.WithLog(n.part("view")), view.WithSeeds(n.seeds(l)),
		view.WithExited(func(id fleet.EntryID) bool { return n.registrar.ProcessExited(id) }))
	n.registrar = member.New(s.Name, n.member(self), n.keeper, l, member.WithLog(n.part("member")),
		member.WithRemoved(n.removed))
	n.book = grant.New(self, n.keeper, t, n.peers, grant.WithLog(n.part("grant")), grant.WithMetrics(n.registry))
	n.ledger = claim.New(func() fleet.EntryID { return n.registrar.Self().ID }, t, o, claim.WithLog(n.part("claim")),
		claim.WithMetrics(n.registry))
	n.memory = admit.NewMemory(s.bodyMemory)
	n.watch = &watch{roster: l, log: n.part("roster")}
	n.reach = &reach{views: n.keeper, prober: w, leads: n.leads}
	n.runner = runner.New(runner.Parts{Views: n.keeper, Workers: w, Grants: n.book, Records: n.ledger, Objects: o,
		Members: n.registrar, Roster: n.watch, Owners: owners{n.peers}, Log: n.part("runner"), Metrics: n.registry,
		Memory: n.memory})
	n.scheduler = &scheduler{views: n.keeper, prober: w, source: n.runner, peers: n.peers}
	n.runner.Attach(n.scheduler)
	n.upkeep = upkeep.New(upkeep.Options{Views: n.keeper, Prober: w, Platform: l, Leads: n.leads, Failed: n.reach.failed,
		Log: n.part("upkeep")})
	n.follower = upkeep.NewFollower(upkeep.FollowerOptions{Views: n.keeper, Roster: l,
		Leads: func() bool { return n.leads(fleetDuty) }, Failed: n.reach.failed, Log: n.part("upkeep")})
	n.burn = burn.NewRecorder()
	n.admin = n.operators()
	n.spares = spare.New(spare.Options{Views: n.keeper, Demands: n.admin.Demands,
		Leads: func() bool { return n.leads(fleetDuty) }, Failed: n.reach.failed, Policy: s.spares, Log: n.part("spare")})
}

// fleetDuty is the name by which the entry instance is chosen for duties that concern no single pool. No pool has
// it, since it is not a name.
const fleetDuty fleet.PoolName = "*"

// leads reports whether this instance is the first of the live members in rank for a pool. Two at a time do no harm:
// their edits are conditional on the revision.
func (n *Node) leads(p fleet.PoolName) bool {
	for _, m := range alloc.Rank(n.keeper.View().Members(), p) {
		if n.registrar.Alive(m.ID) {
			return m.ID == n.registrar.Self().ID
		}
	}
	return false
}

// part returns the log of a part, whose lines begin with its name.
func (n *Node) part(name string) *zap.Logger { return n.log.Named(name) }

func (n *Node) member(self fleet.EntryID) fleet.Member {
	return fleet.Member{ID: self, Zone: fleet.AvailabilityZone(n.settings.Zone),
		Address: firstOf(n.settings.PeerAdvertise, n.peerAt.Addr().String()),
		Caller:  firstOf(n.settings.Advertise, n.httpAt.Addr().String())}
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
	return []peer.ClientOption{peer.WithClientTLS(n.peerTLS.forPeerClient)}
}

// seeds returns where to ask for the view when the store is down at the start.
func (n *Node) seeds(l *roster.Shared) func(context.Context) ([]string, error) {
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

// removed drops the work of an incarnation that was removed from the members and prepares the next one. It waits
// until the tasks have ended or run out their leases, because their ceiling units count as returned after that.
func (n *Node) removed(ctx context.Context, next fleet.EntryID) {
	n.log.Warn("node: removed from the members, dropping all work")
	n.runner.Drop()
	n.runner.AwaitEnd(ctx)
	n.book.Reset(next)
	n.scheduler.restart(ctx, next)
}

// owners asks other entry instances about tasks.
type owners struct{ peers *peer.Client }

// Task implements runner.Owners.
func (o owners) Task(ctx context.Context, address string, q peer.TaskRequest) (peer.TaskReply, error) {
	return peer.Call(ctx, o.peers, address, peer.MethodTask, q)
}

// Run serves until the context ends and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	var parts sync.WaitGroup
	n.start(life, &parts)
	server := n.server(life)
	failed := make(chan error, 1)
	go func() { failed <- n.serve(server) }()
	n.log.Info("node: serving", zap.String("address", n.Address()), zap.String("peers", n.peerAt.Addr().String()))
	if n.settings.Document != "" {
		parts.Go(func() { n.seed(life) })
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		return fmt.Errorf("node: %w", err)
	}
	n.shutDown(server)
	end()
	parts.Wait()
	return n.peers.Close()
}

func (n *Node) seed(ctx context.Context) {
	if err := seed(ctx, n.keeper, n.settings.Document, n.log); err != nil && ctx.Err() == nil {
		n.log.Error("node: document not written", zap.Error(err))
	}
}

func (n *Node) start(ctx context.Context, parts *sync.WaitGroup) {
	n.scheduler.restart(ctx, n.registrar.Self().ID)
	for _, run := range []func(context.Context){n.keeper.Run, n.registrar.Run, n.book.Run, n.ledger.Run, n.runner.Run,
		n.watch.run, n.reach.run, n.upkeep.Run, n.follower.Run, n.spares.Run, n.sweepRecords, n.servePeers} {
		parts.Go(func() { run(ctx) })
	}
}

// sweepRecords deletes old task records; those of entry instances that are gone fall to the first in rank.
func (n *Node) sweepRecords(ctx context.Context) {
	live := func(id fleet.EntryID) bool { _, ok := n.keeper.View().Member(id); return ok }
	responsible := func(fleet.EntryID) bool { return n.leads(fleetDuty) }
	pace.After(ctx, claim.SweepInterval, func(ctx context.Context) {
		if err := n.ledger.Sweep(ctx, live, responsible); err != nil {
			n.log.Warn("claim: old records not deleted", zap.Error(err))
		}
	})
}

func (n *Node) servePeers(ctx context.Context) {
	s := peer.NewServer(n.settings.PeerToken)
	peer.Handle(s, peer.MethodSync, n.keeper.HandleSync)
	peer.Handle(s, peer.MethodPush, n.keeper.HandlePush)
	peer.Handle(s, peer.MethodNotifyGrants, n.book.HandleNotifyGrants)
	peer.Handle(s, peer.MethodPoll, n.scheduler.poll)
	peer.Handle(s, peer.MethodTask, n.runner.HandleTask)
	peer.Handle(s, peer.MethodStatus, n.admin.HandleStatus)
	l := n.peerAt
	if n.peerTLS != nil {
		l = tls.NewListener(l, n.peerTLS.forPeerServer())
	}
	if err := s.Serve(ctx, l); err != nil && ctx.Err() == nil {
		n.log.Error("node: peer server ended", zap.Error(err))
	}
}

func (n *Node) serve(s *http.Server) error {
	if n.callerTLS != nil {
		s.TLSConfig = n.callerTLS.forCallers()
		return s.ServeTLS(n.httpAt, "", "")
	}
	return s.Serve(n.httpAt)
}
