package matrix

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/lab/audit"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

// edit is a change that an operator asks for.
type edit struct {
	method, path, body string
	accepted           record.Edit // written once the change is accepted; the empty kind writes none
}

// change sends an edit until it is accepted or refused for good. It reports whether it was accepted.
func (w *Cluster) change(at string, x edit) bool {
	sent := record.Now()
	for n := 0; !w.over(); n++ {
		ctx, cancel := context.WithTimeout(context.Background(), answerWithin)
		name := w.target(w.nameOf(at), n)
		h := http.Header{"Authorization": {"Bearer " + adminToken}, "If-Match": {"*"}}
		res, reply, err := w.send(ctx, x.method, name, x.path, h, []byte(x.body))
		cancel()
		switch {
		case err == nil && res.StatusCode < http.StatusMultipleChoices:
			w.accept(x, sent, reply)
			w.note("edit %s at %s: accepted", x.path, name)
			return true
		case err == nil && res.StatusCode < http.StatusInternalServerError:
			w.note("edit %s at %s: status %d", x.path, name, res.StatusCode)
			return false
		}
		w.note("edit %s at %s: not accepted (%s %v)", x.path, name, problemOf(reply), err)
		time.Sleep(retryPause)
	}
	return false
}

func problemOf(reply []byte) reject.Kind {
	var p struct{ Kind reject.Kind }
	_ = json.Unmarshal(reply, &p)
	return p.Kind
}

// accept records an accepted edit and checks after the bound that it is in force everywhere.
func (w *Cluster) accept(x edit, sent record.Stamp, reply []byte) {
	if x.accepted.Kind != "" {
		r := x.accepted
		r.Sent, r.Time = sent, record.Now()
		w.edits.Write(r)
	}
	var a struct{ Revision uint64 }
	_ = json.Unmarshal(reply, &a)
	time.AfterFunc(audit.Grace, func() { w.checkForce(a.Revision) })
}

// checkForce finds entry instances that hold an older view than an accepted edit's and would still act on it.
func (w *Cluster) checkForce(revision uint64) {
	if w.over() {
		return
	}
	for _, e := range w.live() {
		if e.keeper.Fresh() == nil && e.keeper.View().Revision() < revision {
			w.breach("notinforce", "%s acts on revision %d, %d was accepted %s ago", e.name, e.keeper.View().Revision(),
				revision, audit.Grace)
		}
	}
}

// nameOf returns the name of the entry instance in an identifier.
func nameOf(id fleet.EntryID) string {
	name, _, _ := strings.Cut(string(id), ".")
	return name
}

func (w *Cluster) nameOf(role string) string {
	if n, ok := w.roles[role]; ok {
		return n
	}
	return role
}

func put(section, text string) edit {
	return edit{method: http.MethodPut, path: "/v1/document/sections/" + section, body: text}
}

func zoneEdit(z, state string) edit {
	x := put("zone/"+z, zoneText(state))
	x.accepted = record.Edit{Kind: record.EditZone, Zone: fleet.AvailabilityZone(z), State: fleet.ZoneState(state)}
	return x
}

func ceilingEdit(n int) edit {
	x := put("team/blue", ceilingText(n))
	x.accepted = record.Edit{Kind: record.EditCeiling, Team: team, Count: n}
	return x
}

func instanceEdit(id, action, pool string) edit {
	x := edit{method: http.MethodPost, path: "/v1/instances/" + id + "/" + action}
	if pool != "" {
		x.body = fmt.Sprintf(`{"pool":%q}`, pool)
	}
	return x
}

// watchCommit records what transactions make of the pools and their budgets, and finds revisions that are written
// twice: the first one may have been accepted. It is called in the order of commits.
func (w *Cluster) watchCommit(t table.Transaction) {
	now := record.Now()
	for _, x := range t.Writes {
		if x.Key == view.HeadKey {
			w.watchHead(x.Value)
		}
		if strings.HasPrefix(x.Key, "grant/") {
			w.note("%s %s", x.Key, x.Value)
		}
		if p, ok := strings.CutPrefix(x.Key, view.SectionKey("pool/")); ok {
			var s fleet.Section
			_ = json.Unmarshal(x.Value, &s)
			d, _ := spec.Decode([]fleet.Section{s})
			w.edits.Write(record.Edit{Kind: record.EditBudget, Time: now, Pool: fleet.PoolName(p), Count: d.Pools[fleet.PoolName(p)].Min})
		}
	}
	for _, x := range t.Writes {
		if p, ok := strings.CutPrefix(x.Key, "view/pool/"); ok {
			var members []fleet.PoolMember
			_ = json.Unmarshal(x.Value, &members)
			w.watchPool(now, fleet.PoolName(p), members)
		}
	}
}

func (w *Cluster) watchHead(value []byte) {
	var h struct{ Revision uint64 }
	_ = json.Unmarshal(value, &h)
	w.mu.Lock()
	last := w.head
	w.head = h.Revision
	w.mu.Unlock()
	if h.Revision != last+1 {
		w.breach("reverted", "revision %d was written after revision %d", h.Revision, last)
	}
}

func (w *Cluster) watchPool(now record.Stamp, p fleet.PoolName, members []fleet.PoolMember) {
	w.mu.Lock()
	before := w.pools[p]
	w.pools[p] = members
	elsewhere := func(id fleet.InstanceID) bool {
		for q, ms := range w.pools {
			if q != p && slices.ContainsFunc(ms, func(m fleet.PoolMember) bool { return m.ID == id }) {
				return true
			}
		}
		return false
	}
	var changes []record.Edit
	for _, m := range before {
		if !slices.ContainsFunc(members, func(o fleet.PoolMember) bool { return o.ID == m.ID }) && !elsewhere(m.ID) {
			changes = append(changes, record.Edit{Kind: record.EditPool, Time: now, Instance: m.ID})
		}
	}
	for _, m := range members {
		// An instance that the platform takes away is drained whatever the budget says: that is no planned work.
		if !slices.Contains(before, m) && !(m.ID == w.taken && m.State == fleet.InstanceDraining) {
			changes = append(changes, record.Edit{Kind: record.EditPool, Time: now, Instance: m.ID, Pool: p, Zone: m.Zone, Status: m.State})
		}
	}
	w.mu.Unlock()
	for _, c := range changes {
		w.edits.Write(c)
	}
}
