package node

import (
	"context"
	"errors"
	"maps"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plan/spare"
	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
	"github.com/yuccahaven/yuccahaven/internal/serve/burn"
	"github.com/yuccahaven/yuccahaven/internal/serve/caller"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Version is the program version, set by the build.
var Version = "dev"

// newAdminServer returns the handler for operators, health and metrics.
func (n *Node) newAdminServer() *admin.Server {
	return admin.New(admin.Options{
		Self:    func() fleet.EntryID { return n.registrar.Self().ID },
		Viewer:  n.replica,
		Editor:  n.replica,
		Audit:   auditor{n.replica},
		Local:   n,
		Peers:   statusPeers{n},
		Burn:    n.burn,
		Token:   n.settings.AdminToken,
		Failed:  n.reachability.failed,
		Ready:   n.ready,
		Metrics: n.registry,
		Log:     n.logger("admin"),
		Version: Version,
	})
}

type auditor struct{ replica *view.Replica }

// Audit implements admin.Auditor.
func (a auditor) Audit(ctx context.Context, after uint64, limit int) ([]admin.AuditRecord, error) {
	found, err := a.replica.Audit(ctx, after, limit)
	records := make([]admin.AuditRecord, 0, len(found))
	for _, r := range found {
		records = append(records, admin.AuditRecord(r))
	}
	return records, err
}

type statusPeers struct{ node *Node }

// Status implements admin.Peers.
func (s statusPeers) Status(ctx context.Context, m fleet.Member) (peer.StatusReply, error) {
	return peer.Call(ctx, s.node.peers, m.Address, peer.MethodStatus,
		peer.StatusRequest{From: s.node.registrar.Self().ID})
}

// EntryStatus implements admin.Local.
func (n *Node) EntryStatus() admin.EntryStatus {
	v := n.replica.View()
	load := n.runner.Load()
	s := admin.EntryStatus{Entry: n.registrar.Self().ID, Revision: v.Revision(), Fresh: n.replica.Fresh() == nil,
		Findings: n.findingsCache.findings(v)}
	for _, t := range slices.Sorted(maps.Keys(v.Document().Teams)) {
		s.Teams = append(s.Teams, admin.TeamLoad{Team: t, Running: load.Running[t], Waiting: load.Waiting[t],
			Granted: n.grants.Held(t)})
	}
	for _, z := range slices.Sorted(maps.Keys(load.Zones)) {
		s.Zones = append(s.Zones, admin.ZoneLoad{Zone: z, Running: load.Zones[z]})
	}
	for _, p := range slices.Sorted(maps.Keys(load.Pools)) {
		s.Pools = append(s.Pools, spare.Demand{Pool: p, Running: load.Pools[p].Running, Waiting: load.Pools[p].Waiting})
	}
	s.Steps = n.allocator.zoneReturns(v)
	return s
}

// burnObserver counts answered submissions for the burn report.
type burnObserver struct {
	burn  *burn.Recorder
	views *view.Replica
}

// Observe implements caller.Observer. It skips accepted asynchronous jobs: no caller waits for them, so the time to
// accept them says nothing about the time to the answer.
func (o burnObserver) Observe(x caller.Observation) {
	q, ok := o.views.View().Document().Queues[x.Queue]
	if !ok || x.Accepted {
		return
	}
	var err error
	if x.Kind != "" {
		err = reject.New(x.Kind, reject.WorkUnknown, "")
	}
	o.burn.Record(x.Queue, q, x.Took, err)
}

var errShuttingDown = errors.New("shutting down")

// ready returns why this instance should receive no requests, or nil if it is ready.
func (n *Node) ready() error {
	switch {
	case n.stopping.Load():
		return errShuttingDown
	case !n.registrar.Registered():
		return errors.New("not registered")
	}
	return n.replica.Fresh()
}
