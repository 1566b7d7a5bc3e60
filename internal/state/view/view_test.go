package view_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// decode decodes team sections whose text is the ceiling.
func decode(sections []fleet.Section) (fleet.Document, error) {
	d := fleet.Document{Teams: map[fleet.TeamName]fleet.TeamSection{}}
	for _, s := range sections {
		if team, ok := strings.CutPrefix(s.Name, "team/"); ok {
			ceiling, err := strconv.Atoi(s.Text)
			if err != nil {
				return d, err
			}
			d.Teams[fleet.TeamName(team)] = fleet.TeamSection{Ceiling: ceiling}
		}
	}
	return d, nil
}

type entry struct {
	*view.Replica
	link *fakes.Link
	stop context.CancelFunc
	done chan struct{}
}

// cluster runs several replicas on one in-memory table; the address of each is its name.
type cluster struct {
	t       *testing.T
	table   *fakes.Table
	net     *fakes.Net
	entries map[string]*entry
	seeds   atomic.Pointer[[]string]
	exited  sync.Map
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, table: fakes.NewTable(), net: fakes.NewNet(2 * time.Millisecond), entries: map[string]*entry{}}
	c.seeds.Store(&[]string{})
	t.Cleanup(func() {
		for name := range c.entries {
			c.stop(name)
		}
		time.Sleep(time.Minute) // until calls in progress time out
	})
	return c
}

// start runs the entry instance "<name>" as the incarnation "<name>.<incarnation>".
func (c *cluster) start(name, incarnation string, faults fakes.Faults) {
	e := &entry{link: c.table.Link(), done: make(chan struct{})}
	e.link.SetFaults(faults)
	e.Replica = view.New(fleet.EntryID(name+"."+incarnation), e.link, c.net.From(name), decode,
		view.WithSeeds(func(context.Context) ([]string, error) { return *c.seeds.Load(), nil }),
		view.WithExited(func(id fleet.EntryID) bool { _, ok := c.exited.Load(id); return ok }))
	c.net.Listen(name, fakes.Node{Sync: e.HandleSync, Push: e.HandlePush})
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go func() { defer close(e.done); e.Run(ctx) }()
	c.entries[name] = e
}

func (c *cluster) stop(name string) {
	c.net.Close(name)
	c.entries[name].stop()
	<-c.entries[name].done
	delete(c.entries, name)
}

func (c *cluster) edit(by string, items ...fleet.Item) string {
	return result(c.entries[by].Edit(c.t.Context(), by, func(fleet.View) ([]fleet.Item, error) { return items, nil }))
}

func result(revision uint64, err error) string {
	var e *reject.Error
	switch {
	case errors.As(err, &e):
		return fmt.Sprintf("revision %d: %s, work %s", revision, e.Kind, e.Work)
	case err != nil:
		return err.Error()
	}
	return fmt.Sprintf("accepted as revision %d", revision)
}

// race makes entry instances edit one section each concurrently, on condition that the section is at a version.
func (c *cluster) race(version uint64, edits []datadriven.CmdArg) string {
	results := make([]string, len(edits))
	var g sync.WaitGroup
	for i, a := range edits {
		g.Go(func() {
			r, err := c.entries[a.Key].Edit(c.t.Context(), a.Key, func(v fleet.View) ([]fleet.Item, error) {
				if err := view.MatchSection(v, a.Vals[0], version); err != nil {
					return nil, err
				}
				return []fleet.Item{view.SectionItem(fleet.Section{Name: a.Vals[0], Text: "1"})}, nil
			})
			results[i] = result(r, err)
			if r == 0 {
				results[i] = err.Error()
			}
		})
	}
	g.Wait()
	slices.Sort(results)
	return strings.Join(results, "\n")
}

// freshDuration returns how long an entry instance stays fresh.
func (c *cluster) freshDuration(name string) string {
	begin := time.Now()
	for c.entries[name].Fresh() == nil && time.Since(begin) < time.Minute {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin).Round(100 * time.Millisecond).String()
}

func (c *cluster) show(majority bool) string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(c.entries)) {
		e, state := c.entries[name], "fresh"
		if e.Fresh() != nil {
			state = "stale"
		}
		var members []string
		for _, m := range e.View().Members() {
			members = append(members, string(m.ID))
		}
		var teams []string
		for team, s := range e.View().Document().Teams {
			teams = append(teams, fmt.Sprintf("%s=%d", team, s.Ceiling))
		}
		slices.Sort(teams)
		line := fmt.Sprintf("%s: revision %d %s members %v teams %v", name, e.View().Revision(), state, members, teams)
		if majority {
			line += fmt.Sprintf(" settled %d", e.MajorityRevision())
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// Guards against a view that counts as fresh without a confirmation or whose revision decreases, and against an edit
// whose outcome is misreported.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				out := c.run(d)
				synctest.Wait()
				return strings.TrimLeft(out+"\n", "\n")
			})
		})
	})
}

func (c *cluster) run(d *datadriven.TestData) string {
	var names []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			names = append(names, a.Key)
		}
	}
	switch d.Cmd {
	case "start":
		incarnation := "1"
		d.MaybeScanArgs(c.t, "incarnation", &incarnation)
		for _, name := range names {
			if name != "down" {
				c.start(name, incarnation, fakes.Faults{Down: d.HasArg("down")})
			}
		}
	case "stop":
		c.stop(names[0])
	case "seeds":
		c.seeds.Store(&names)
	case "gone":
		c.exited.Store(fleet.EntryID(names[0]), true)
	case "join":
		id := fleet.EntryID(names[1])
		name, _, _ := strings.Cut(names[1], ".")
		return c.edit(names[0], view.MemberItem(fleet.Member{ID: id, Address: name}))
	case "remove":
		return c.edit(names[0], view.MemberRemoval(fleet.EntryID(names[1])))
	case "edit":
		return c.edit(names[0], view.SectionItem(fleet.Section{Name: names[1], Text: names[2]}))
	case "again":
		return c.edit(names[0]) // an edit that changes nothing
	case "edits":
		n, _ := strconv.Atoi(names[1])
		for i := range n {
			c.edit(names[0], view.SectionItem(fleet.Section{Name: "team/x", Text: strconv.Itoa(i)}))
		}
	case "race":
		version, _ := strconv.ParseUint(d.CmdArgs[0].Vals[0], 10, 64)
		return c.race(version, d.CmdArgs[1:])
	case "net":
		delay, _ := time.ParseDuration(names[0])
		c.net.SetDelay(delay)
	case "lasts":
		return c.freshDuration(names[0])
	case "zone":
		out := c.edit(names[0], view.ZoneItem("z", fleet.ZoneStatus{State: fleet.ZoneState(names[1])}))
		return fmt.Sprintf("%s: generation %d", out, c.entries[names[0]].View().Zone("z").Generation)
	case "store":
		c.entries[names[0]].link.SetFaults(faults(c.t, d))
	case "cut":
		c.net.Cut(names[0], names[1], true)
	case "isolate":
		c.net.Isolate(names[0], true)
	case "heal":
		for _, name := range names {
			c.net.Isolate(name, false)
		}
	case "wait":
		w, err := time.ParseDuration(names[0])
		if err != nil {
			d.Fatalf(c.t, "%v", err)
		}
		time.Sleep(w)
	case "keys":
		items, _ := c.table.Link().Scan(c.t.Context(), names[0], "", 2000)
		return fmt.Sprintf("%d keys, first %s", len(items), items[0].Key)
	case "rollback":
		c.entries[names[0]].link.SetTable(fakes.NewTable())
	case "ahead":
		c.net.Listen(names[0], fakes.Node{Sync: func(_ context.Context, q peer.SyncRequest) (peer.SyncReply, error) {
			return peer.SyncReply{From: fleet.EntryID(names[0] + ".1"), Revision: q.Revision + 1}, nil
		}})
	case "await":
		ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
		defer cancel()
		if err := c.entries[names[0]].Await(ctx); err != nil {
			return "not fresh"
		}
		return "fresh"
	case "show":
		return c.show(d.HasArg("settled"))
	default:
		d.Fatalf(c.t, "unknown command")
	}
	return ""
}

func faults(t *testing.T, d *datadriven.TestData) fakes.Faults {
	f := fakes.Faults{Down: d.HasArg("down")}
	var slow, late string
	d.MaybeScanArgs(t, "slow", &slow)
	d.MaybeScanArgs(t, "late", &late)
	f.Delay, _ = time.ParseDuration(slow)
	f.LateBy, _ = time.ParseDuration(late)
	if late != "" {
		f.Late = 1
	}
	d.MaybeScanArgs(t, "lose", &f.Lose)
	d.MaybeScanArgs(t, "drop", &f.Drop)
	return f
}
