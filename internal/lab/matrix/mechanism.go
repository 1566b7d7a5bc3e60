package matrix

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
	"github.com/yuccahaven/yuccahaven/internal/serve/runner"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Mechanism names a safety mechanism that a cell can run without, which shows that the checks find what the mechanism
// prevents.
type Mechanism string

// The safety mechanisms.
const (
	NoMechanism       Mechanism = ""
	ReservationExpiry Mechanism = "reservation expiry"
	Freshness         Mechanism = "freshness check"
	ClaimRecord       Mechanism = "claim record"
	WorkerFence       Mechanism = "worker fence"
	GrantRemovalDelay Mechanism = "grant settle time"
	Majority          Mechanism = "majority acknowledgement"
	Grants            Mechanism = "grants"
	LeaseWait         Mechanism = "lease wait"
	HeadCondition     Mechanism = "head condition"
	BudgetCheck       Mechanism = "budget check"
)

func (m Mechanism) workers(w runner.Workers) runner.Workers {
	switch m {
	case ReservationExpiry:
		return longReservations{w}
	case WorkerFence:
		return noFence{w}
	case LeaseWait:
		return noLeaseWait{w}
	}
	return w
}

// longReservations requests reservations that don't expire during a cell.
type longReservations struct{ runner.Workers }

func (w longReservations) Reserve(ctx context.Context, address string, r worker.Reservation) error {
	r.TTL = time.Hour
	return w.Workers.Reserve(ctx, address, r)
}

// noFence reports a task id as fenced without a call to the worker.
type noFence struct{ runner.Workers }

func (noFence) Stop(_ context.Context, _ string, id fleet.TaskID, _ bool) (worker.Status, error) {
	return worker.Status{Task: id, State: worker.Fenced}, nil
}

// noLeaseWait treats the tasks of an unresponsive worker as unknown to it, so that nothing waits for the lease to
// expire.
type noLeaseWait struct{ runner.Workers }

func (w noLeaseWait) Await(ctx context.Context, address string, id fleet.TaskID,
	wait time.Duration) (worker.Status, error) {
	s, err := w.Workers.Await(ctx, address, id, wait)
	if errors.Is(err, worker.ErrNoReply) || errors.Is(err, worker.ErrRefused) {
		err = worker.ErrUnknown
	}
	return s, err
}

func (m Mechanism) views(v runner.Views) runner.Views {
	if m == Freshness {
		return alwaysFresh{v}
	}
	return v
}

type alwaysFresh struct{ runner.Views }

func (alwaysFresh) Fresh() error { return nil }

func (m Mechanism) grants(g runner.Grants) runner.Grants {
	if m == Grants {
		return unlimitedGrants{}
	}
	return g
}

type unlimitedGrants struct{}

func (unlimitedGrants) Acquire(fleet.TeamName, int) bool { return true }
func (unlimitedGrants) Release(fleet.TeamName, int)      {}
func (unlimitedGrants) Free(fleet.TeamName) int          { return 100 }
func (unlimitedGrants) Want(fleet.TeamName, int)         {}

func (m Mechanism) records(r runner.Records) runner.Records {
	if m == ClaimRecord {
		return noClaimRecords{r}
	}
	return r
}

// noClaimRecords neither writes nor finds records.
type noClaimRecords struct{ runner.Records }

func (noClaimRecords) Claim(_ context.Context, r claim.Record) (claim.Record, error) { return r, nil }
func (noClaimRecords) Replace(_ context.Context, _, r claim.Record) (claim.Record, error) {
	return r, nil
}
func (noClaimRecords) Find(context.Context, fleet.TeamName, string) (claim.Record, error) {
	return claim.Record{}, claim.ErrAbsent
}

func (m Mechanism) peers(e *Entry, p view.Peers) view.Peers {
	if m == Majority {
		return assumedPushes{p, e}
	}
	return p
}

// assumedPushes sends no pushes and reports them as acknowledged.
type assumedPushes struct {
	view.Peers
	entry *Entry
}

func (u assumedPushes) Push(_ context.Context, address string, q peer.PushRequest) (peer.PushReply, error) {
	u.entry.cluster.intercept(message{entry: u.entry, step: "peer.push", host: address})
	a := peer.PushReply{From: fleet.EntryID(address + ".1")}
	if n := len(q.Deltas); n > 0 {
		a.Revision = q.Deltas[n-1].Revision
	}
	return a, nil
}

func (m Mechanism) table(e *Entry, t table.Table) table.Table {
	switch m {
	case HeadCondition:
		return noHeadCondition{t}
	case GrantRemovalDelay:
		return noRemovalDelay{t, e}
	}
	return t
}

// noHeadCondition commits without the condition on the head key.
type noHeadCondition struct{ table.Table }

func (t noHeadCondition) Commit(ctx context.Context, x table.Transaction) (uint64, error) {
	var kept []table.Condition
	for _, c := range x.Conditions {
		if c.Key != view.HeadKey {
			kept = append(kept, c)
		}
	}
	x.Conditions = kept
	return t.Table.Commit(ctx, x)
}

// noRemovalDelay hides the grants of removed entry instances, so that they are reusable at once.
type noRemovalDelay struct {
	table.Table
	entry *Entry
}

func (t noRemovalDelay) Get(ctx context.Context, keys ...string) ([]table.Item, error) {
	items, err := t.Table.Get(ctx, keys...)
	for n, i := range items {
		if strings.HasPrefix(i.Key, "grant/") {
			items[n].Value = t.withoutRemoved(i.Value)
		}
	}
	return items, err
}

func (t noRemovalDelay) withoutRemoved(value []byte) []byte {
	var r struct {
		Holdings []map[string]any `json:"holdings"`
		Turn     int              `json:"turn,omitempty"`
	}
	if json.Unmarshal(value, &r) != nil {
		return value
	}
	var kept []map[string]any
	for _, h := range r.Holdings {
		id, _ := h["entry"].(string)
		if _, ok := t.entry.replica.View().Member(fleet.EntryID(id)); ok {
			kept = append(kept, h)
		}
	}
	r.Holdings = kept
	b, err := json.Marshal(r)
	if err != nil {
		return value
	}
	return b
}

func (m Mechanism) editor(e admin.Editor) admin.Editor {
	if m == BudgetCheck {
		return noBudgets{e}
	}
	return e
}

// noBudgets applies operators' changes to a document without pool budgets.
type noBudgets struct{ admin.Editor }

func (u noBudgets) Edit(ctx context.Context, author string,
	change func(fleet.View) ([]fleet.Item, error)) (uint64, error) {
	return u.Editor.Edit(ctx, author, func(v fleet.View) ([]fleet.Item, error) {
		d := v.Document()
		pools := map[fleet.PoolName]fleet.PoolSection{}
		for p, s := range d.Pools {
			s.Min = 0
			pools[p] = s
		}
		d.Pools = pools
		return change(v.WithDocument(d))
	})
}
