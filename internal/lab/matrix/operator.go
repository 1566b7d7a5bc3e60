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

// edit is a change that an operator requests.
type edit struct {
	method, path, body string
	accepted           record.Edit // recorded once the change is accepted, unless its kind is empty
}

// applyEdit sends an edit until it is accepted or refused with a client error, or the cell has ended. It reports whether
// it was accepted.
func (cl *Cluster) applyEdit(at string, x edit) bool {
	sent := record.Now()
	for n := 0; !cl.hasEnded(); n++ {
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		name := cl.entryForAttempt(cl.nameOf(at), n)
		h := http.Header{"Authorization": {"Bearer " + adminToken}, "If-Match": {"*"}}
		res, reply, err := cl.send(ctx, x.method, name, x.path, h, []byte(x.body))
		cancel()
		switch {
		case err == nil && res.StatusCode < http.StatusMultipleChoices:
			cl.recordAccepted(x, sent, reply)
			cl.note("edit %s at %s: accepted", x.path, name)
			return true
		case err == nil && res.StatusCode < http.StatusInternalServerError:
			cl.note("edit %s at %s: status %d", x.path, name, res.StatusCode)
			return false
		}
		cl.note("edit %s at %s: not accepted (%s %v)", x.path, name, problemKind(reply), err)
		time.Sleep(retryInterval)
	}
	return false
}

func problemKind(reply []byte) reject.Kind {
	var p struct{ Kind reject.Kind }
	_ = json.Unmarshal(reply, &p)
	return p.Kind
}

// recordAccepted records an accepted edit unless its kind is empty, and checks after audit.Grace that no entry instance
// acts on an older view.
func (cl *Cluster) recordAccepted(x edit, sent record.Stamp, reply []byte) {
	if x.accepted.Kind != "" {
		r := x.accepted
		r.Sent, r.Time = sent, record.Now()
		cl.edits.Write(r)
	}
	var a struct{ Revision uint64 }
	_ = json.Unmarshal(reply, &a)
	time.AfterFunc(audit.Grace, func() { cl.checkRevision(a.Revision) })
}

// checkRevision finds entry instances with a view that is older than an accepted edit but still counts as fresh.
func (cl *Cluster) checkRevision(revision uint64) {
	if cl.hasEnded() {
		return
	}
	for _, e := range cl.liveEntries() {
		if e.replica.Fresh() == nil && e.replica.View().Revision() < revision {
			cl.addViolation("notinforce", "%s acts on revision %d, but revision %d was accepted %s ago", e.name,
				e.replica.View().Revision(), revision, audit.Grace)
		}
	}
}

// nameOf returns the name part of an entry instance's identifier.
func nameOf(id fleet.EntryID) string {
	name, _, _ := strings.Cut(string(id), ".")
	return name
}

func (cl *Cluster) nameOf(role string) string {
	if n, ok := cl.roles[role]; ok {
		return n
	}
	return role
}

func sectionEdit(section, text string) edit {
	return edit{method: http.MethodPut, path: "/v1/document/sections/" + section, body: text}
}

func zoneEdit(z, state string) edit {
	x := sectionEdit("zone/"+z, zoneText(state))
	x.accepted = record.Edit{Kind: record.EditZone, Zone: fleet.AvailabilityZone(z), State: fleet.ZoneState(state)}
	return x
}

func ceilingEdit(n int) edit {
	x := sectionEdit("team/blue", ceilingText(n))
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

// observeCommit records the changes of pools and their budgets that a transaction makes, and finds revisions that are
// written twice: the edit that wrote the first one may have been accepted. It must be called in the order of commits.
func (cl *Cluster) observeCommit(t table.Transaction) {
	now := record.Now()
	for _, x := range t.Writes {
		if x.Key == view.HeadKey {
			cl.observeHead(x.Value)
		}
		if strings.HasPrefix(x.Key, "grant/") {
			cl.note("%s %s", x.Key, x.Value)
		}
		if p, ok := strings.CutPrefix(x.Key, view.SectionKey("pool/")); ok {
			var s fleet.Section
			_ = json.Unmarshal(x.Value, &s)
			d, _ := spec.Decode([]fleet.Section{s})
			cl.edits.Write(record.Edit{Kind: record.EditBudget, Time: now, Pool: fleet.PoolName(p),
				Count: d.Pools[fleet.PoolName(p)].Min})
		}
	}
	for _, x := range t.Writes {
		if p, ok := strings.CutPrefix(x.Key, "view/pool/"); ok {
			var members []fleet.PoolMember
			_ = json.Unmarshal(x.Value, &members)
			cl.observePool(now, fleet.PoolName(p), members)
		}
	}
}

func (cl *Cluster) observeHead(value []byte) {
	var h struct{ Revision uint64 }
	_ = json.Unmarshal(value, &h)
	cl.mu.Lock()
	last := cl.headRevision
	cl.headRevision = h.Revision
	cl.mu.Unlock()
	if h.Revision != last+1 {
		cl.addViolation("reverted", "revision %d was written after revision %d", h.Revision, last)
	}
}

func (cl *Cluster) observePool(now record.Stamp, p fleet.PoolName, members []fleet.PoolMember) {
	cl.mu.Lock()
	before := cl.pools[p]
	cl.pools[p] = members
	inOtherPool := func(id fleet.InstanceID) bool {
		for q, ms := range cl.pools {
			if q != p && slices.ContainsFunc(ms, func(m fleet.PoolMember) bool { return m.ID == id }) {
				return true
			}
		}
		return false
	}
	var changes []record.Edit
	for _, m := range before {
		if !slices.ContainsFunc(members, func(o fleet.PoolMember) bool { return o.ID == m.ID }) && !inOtherPool(m.ID) {
			changes = append(changes, record.Edit{Kind: record.EditPool, Time: now, Instance: m.ID})
		}
	}
	for _, m := range members {
		// An instance that the platform removes is drained regardless of the budget: that is not planned work.
		if !slices.Contains(before, m) && !(m.ID == cl.reclaimed && m.State == fleet.InstanceDraining) {
			changes = append(changes, record.Edit{Kind: record.EditPool, Time: now, Instance: m.ID, Pool: p, Zone: m.Zone,
				Status: m.State})
		}
	}
	cl.mu.Unlock()
	for _, c := range changes {
		cl.edits.Write(c)
	}
}
