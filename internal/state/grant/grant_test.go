package grant_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/state/grant"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

const team = fleet.TeamName("x")

// decode decodes team sections whose text is the ceiling.
func decode(sections []fleet.Section) (fleet.Document, error) {
	d := fleet.Document{Teams: map[fleet.TeamName]fleet.TeamSection{}}
	for _, s := range sections {
		ceiling, err := strconv.Atoi(s.Text)
		if err != nil {
			return d, err
		}
		d.Teams[fleet.TeamName(strings.TrimPrefix(s.Name, "team/"))] = fleet.TeamSection{Ceiling: ceiling}
	}
	return d, nil
}

// entry is a Manager with its Replica; its address is its name.
type entry struct {
	*grant.Manager
	replica *view.Replica
	id      fleet.EntryID
	link    *fakes.Link
	stop    func()
}

// cluster runs entry instances on one in-memory table, and an administrator "admin" that makes the edits.
type cluster struct {
	t       *testing.T
	table   *fakes.Table
	net     *fakes.Net
	entries map[string]*entry
	admin   *entry
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, table: fakes.NewTable(), net: fakes.NewNet(2 * time.Millisecond), entries: map[string]*entry{}}
	c.admin = c.start("admin", "admin.1")
	delete(c.entries, "admin")
	t.Cleanup(func() {
		c.admin.stop()
		for _, e := range c.entries {
			e.stop()
		}
		time.Sleep(time.Minute) // until calls in progress time out
	})
	return c
}

func (c *cluster) start(name string, id fleet.EntryID) *entry {
	e := &entry{id: id, link: c.table.Link()}
	e.replica = view.New(id, e.link, c.net.From(name), decode)
	e.Manager = grant.New(id, e.replica, e.link, c.net.From(name))
	c.net.Listen(name, fakes.Node{
		Sync: e.replica.HandleSync, Push: e.replica.HandlePush, NotifyGrants: e.HandleNotifyGrants,
	})
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go e.replica.Run(ctx)
	go e.Run(ctx)
	go e.probe(ctx)
	c.entries[name] = e
	return e
}

// probe queries the other members periodically, as the Registrar does, so that the Replica receives the revisions that
// they have applied.
func (e *entry) probe(ctx context.Context) {
	for ctx.Err() == nil {
		v := e.replica.View()
		for _, m := range v.Members() {
			go func() {
				ctx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				_, _, _ = e.replica.QueryMember(ctx, m, v.Revision())
			}()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func (c *cluster) edit(items ...fleet.Item) error {
	_, err := c.admin.replica.Edit(c.t.Context(), "admin", func(fleet.View) ([]fleet.Item, error) { return items, nil })
	return err
}

func (c *cluster) join(name string, id fleet.EntryID) error {
	return c.edit(view.MemberItem(fleet.Member{ID: id, Address: name}))
}

func (c *cluster) ceiling(t fleet.TeamName, n int) error {
	return c.edit(view.SectionItem(fleet.Section{Name: "team/" + string(t), Text: strconv.Itoa(n)}))
}

// Guards against grants that move too early, never, or to the wrong entry instance.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			time.Sleep(100 * time.Millisecond)
			datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
				out := c.run(d)
				synctest.Wait()
				return strings.TrimLeft(out+"\n", "\n")
			})
		})
	})
}

func (c *cluster) run(d *datadriven.TestData) string {
	words := make([]string, 3)
	for i, a := range d.CmdArgs {
		words[i] = a.Key
	}
	e, n := c.entries[words[0]], 0
	d.MaybeScanArgs(c.t, "slots", &n)
	switch d.Cmd {
	case "start":
		for _, a := range d.CmdArgs {
			c.start(a.Key, fleet.EntryID(a.Key+".1"))
			if err := c.join(a.Key, fleet.EntryID(a.Key+".1")); err != nil {
				return err.Error()
			}
		}
	case "ceiling":
		if err := c.ceiling(team, n); err != nil {
			return err.Error()
		}
	case "remove":
		if err := c.edit(view.MemberRemoval(e.id)); err != nil {
			return err.Error()
		}
	case "kill":
		e.stop()
		c.net.Close(words[0])
		delete(c.entries, words[0])
	case "reset":
		e.id = fleet.EntryID(words[1])
		e.replica.Identify(e.id)
		e.Reset(e.id)
		return fmt.Sprint(e.Acquire(team, 1)) // before the next pass
	case "return":
		ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
		defer cancel()
		return fmt.Sprint(e.Return(ctx))
	case "want":
		e.Want(team, n)
	case "acquire":
		return fmt.Sprint(e.Acquire(team, n))
	case "release":
		e.Release(team, n)
	case "store":
		f := fakes.Faults{Down: d.HasArg("down"), LateBy: 400 * time.Millisecond}
		slow := "0s"
		d.MaybeScanArgs(c.t, "slow", &slow)
		f.Delay, _ = time.ParseDuration(slow)
		d.MaybeScanArgs(c.t, "lose", &f.Lose)
		d.MaybeScanArgs(c.t, "drop", &f.Drop)
		d.MaybeScanArgs(c.t, "late", &f.Late)
		e.link.SetFaults(f)
	case "isolate", "heal":
		c.net.Isolate(words[0], d.Cmd == "isolate")
	case "wait":
		w, err := time.ParseDuration(words[0])
		if err != nil {
			d.Fatalf(c.t, "%v", err)
		}
		time.Sleep(w)
	case "most":
		w, _ := time.ParseDuration(words[0])
		return c.maxFree(w)
	case "show":
		return c.show()
	default:
		d.Fatalf(c.t, "unknown command")
	}
	return ""
}

// maxFree returns the highest number of slots that all entry instances together could acquire at one moment.
func (c *cluster) maxFree(w time.Duration) string {
	highest := 0
	for begin := time.Now(); time.Since(begin) < w; time.Sleep(10 * time.Millisecond) {
		n := 0
		for _, e := range c.entries {
			n += e.Free(team)
		}
		highest = max(highest, n)
	}
	return fmt.Sprintf("at most %d slots", highest)
}

func (c *cluster) show() string {
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(c.entries)) {
		lines = append(lines, fmt.Sprintf("%s: held %d free %d",
			name, c.entries[name].Held(team), c.entries[name].Free(team)))
	}
	items, _ := c.table.Link().Get(c.t.Context(), "grant/"+string(team))
	for _, i := range items {
		lines = append(lines, string(i.Value))
	}
	return strings.Join(lines, "\n")
}
