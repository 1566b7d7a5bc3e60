package member_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/state/member"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

// fakeRoster lists names until they are unlisted.
type fakeRoster struct {
	mu    sync.Mutex
	names map[string]bool
}

func (l *fakeRoster) List(context.Context) ([]roster.Listing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var listings []roster.Listing
	for name := range l.names {
		listings = append(listings, roster.Listing{ID: fleet.InstanceID(name), Kind: roster.Entry})
	}
	return listings, nil
}

func (l *fakeRoster) set(name string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if delete(l.names, name); on {
		l.names[name] = true
	}
}

type entry struct {
	*member.Registrar
	replica *view.Replica
	link    *fakes.Link
	stop    context.CancelFunc
	mu      sync.Mutex
	dropped int
}

type cluster struct {
	t       *testing.T
	table   *fakes.Table
	net     *fakes.Net
	roster  *fakeRoster
	entries map[string]*entry
}

func (c *cluster) start(name string) {
	m := fleet.Member{ID: member.NewID(name), Address: name}
	e := &entry{link: c.table.Link()}
	e.replica = view.New(m.ID, e.link, c.net.From(name),
		func([]fleet.Section) (fleet.Document, error) { return fleet.Document{}, nil },
		view.WithExited(func(id fleet.EntryID) bool { return e.Registrar != nil && e.ProcessExited(id) }))
	e.Registrar = member.New(name, m, e.replica, c.roster, member.WithRemoved(func(context.Context, fleet.EntryID) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.dropped++
	}))
	c.net.Listen(name, fakes.Node{Sync: e.replica.HandleSync, Push: e.replica.HandlePush})
	c.roster.set(name, true)
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go e.replica.Run(ctx)
	go e.Run(ctx)
	c.entries[name] = e
}

// Guards against a lost entry instance that stays a member, a live one that is removed, and a removed one that doesn't
// register again.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			c := &cluster{t: t, table: fakes.NewTable(), net: fakes.NewNet(2 * time.Millisecond),
				roster: &fakeRoster{names: map[string]bool{}}, entries: map[string]*entry{}}
			t.Cleanup(c.close)
			datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
				out := c.run(d)
				synctest.Wait()
				return strings.TrimLeft(out+"\n", "\n")
			})
		})
	})
}

func (c *cluster) close() {
	for _, e := range c.entries {
		e.stop()
	}
	time.Sleep(time.Minute) // until calls in progress time out
}

func (c *cluster) run(d *datadriven.TestData) string {
	for _, a := range d.CmdArgs {
		name := a.Key
		switch d.Cmd {
		case "start":
			c.start(name)
		case "kill":
			c.entries[name].stop()
			c.net.Close(name)
			delete(c.entries, name)
		case "unlist", "list":
			c.roster.set(name, d.Cmd == "list")
		case "isolate", "heal":
			c.net.Isolate(name, d.Cmd == "isolate")
			c.entries[name].link.SetFaults(fakes.Faults{Down: d.Cmd == "isolate"})
		case "cut":
			c.net.Cut(d.CmdArgs[0].Key, d.CmdArgs[1].Key, true)
		case "down", "up":
			c.entries[name].link.SetFaults(fakes.Faults{Down: d.Cmd == "down"})
		case "leave":
			return fmt.Sprint(c.entries[name].Leave(c.t.Context()))
		case "wait":
			w, err := time.ParseDuration(name)
			if err != nil {
				d.Fatalf(c.t, "%v", err)
			}
			time.Sleep(w)
		case "edit":
			return c.edit(c.entries[name])
		case "show":
			return c.show(c.entries[name])
		default:
			d.Fatalf(c.t, "unknown command")
		}
	}
	return ""
}

// edit changes a section and returns whether the edit is in force.
func (c *cluster) edit(e *entry) string {
	_, err := e.replica.Edit(c.t.Context(), "test", func(fleet.View) ([]fleet.Item, error) {
		return []fleet.Item{view.SectionItem(fleet.Section{Name: "team/x", Text: "1"})}, nil
	})
	var r *reject.Error
	switch {
	case errors.As(err, &r):
		return string(r.Kind)
	case err != nil:
		return err.Error()
	}
	return "accepted"
}

// show lists the members by name in the view of an entry instance, and those that dropped work after their removal.
func (c *cluster) show(e *entry) string {
	var members, dropped []string
	for _, m := range e.replica.View().Members() {
		name := m.Address
		if !e.Alive(m.ID) {
			name += " (silent)"
		}
		members = append(members, name)
	}
	for _, name := range slices.Sorted(maps.Keys(c.entries)) {
		o := c.entries[name]
		o.mu.Lock()
		if o.dropped > 0 {
			dropped = append(dropped, fmt.Sprintf("%s %d", name, o.dropped))
		}
		o.mu.Unlock()
	}
	return fmt.Sprintf("members %v, dropped work %v", members, dropped)
}
