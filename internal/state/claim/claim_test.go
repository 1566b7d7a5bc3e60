package claim_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/lab/fakes"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/state/claim"
)

// fakeObjects records the names of deleted objects.
type fakeObjects struct {
	mu      sync.Mutex
	deleted []string
}

func (o *fakeObjects) Put(context.Context, string, []byte) error   { return nil }
func (o *fakeObjects) Get(context.Context, string) ([]byte, error) { return nil, nil }
func (o *fakeObjects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deleted = append(o.deleted, name)
	return nil
}

// entry is the Repository of one entry instance; records holds the last record it received, by id.
type entry struct {
	*claim.Repository
	id      fleet.EntryID
	link    *fakes.Link
	stop    context.CancelFunc
	records map[string]claim.Record
}

type cluster struct {
	t       *testing.T
	table   *fakes.Table
	objects *fakeObjects
	entries map[string]*entry
}

func (c *cluster) start(name string) {
	e := &entry{id: fleet.EntryID(name + ".1"), link: c.table.Link(), records: map[string]claim.Record{}}
	e.Repository = claim.New(func() fleet.EntryID { return e.id }, e.link, c.objects)
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go e.Run(ctx)
	c.entries[name] = e
}

// Guards against a record that is written twice, lost, reported wrongly, never deleted or deleted too early.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			c := &cluster{t: t, table: fakes.NewTable(), objects: &fakeObjects{}, entries: map[string]*entry{}}
			t.Cleanup(c.stop)
			c.start("a")
			c.start("b")
			datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
				out := c.run(d)
				synctest.Wait()
				return strings.TrimLeft(out+"\n", "\n")
			})
		})
	})
}

func (c *cluster) stop() {
	for _, e := range c.entries {
		e.stop()
	}
	time.Sleep(time.Minute) // until writes in progress time out
}

func (c *cluster) run(d *datadriven.TestData) string {
	var words []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			words = append(words, a.Key)
		}
	}
	switch d.Cmd {
	case "claim", "finish", "adopt":
		return c.write(d.Cmd, words[0], words[1:], d.HasArg("async"))
	case "find":
		return outcome(c.entries[words[0]].Find(c.t.Context(), "x", words[1]))
	case "orphans":
		orphans, err := c.entries[words[0]].Orphans(c.t.Context(), live(words[1:]))
		ids := []string{fmt.Sprint(err)}
		for _, r := range orphans {
			ids = append(ids, r.ID)
			c.entries[words[0]].records[r.ID] = r
		}
		return strings.Join(ids, " ")
	case "sweep":
		if err := c.entries[words[0]].Sweep(c.t.Context(), live(words[1:]),
			func(fleet.EntryID) bool { return true }); err != nil {
			return err.Error()
		}
	case "store":
		f := fakes.Faults{Down: d.HasArg("down"), LateBy: 70 * time.Millisecond}
		d.MaybeScanArgs(c.t, "lose", &f.Lose)
		d.MaybeScanArgs(c.t, "drop", &f.Drop)
		d.MaybeScanArgs(c.t, "late", &f.Late)
		c.entries[words[0]].link.SetFaults(f)
	case "wait":
		w, err := time.ParseDuration(words[0])
		if err != nil {
			d.Fatalf(c.t, "%v", err)
		}
		time.Sleep(w)
	case "keys":
		items, _ := c.table.Link().Scan(c.t.Context(), words[0], "", 1000)
		return fmt.Sprintf("%d keys, objects deleted: %v", len(items), c.objects.deleted)
	default:
		d.Fatalf(c.t, "unknown command")
	}
	return ""
}

func live(names []string) func(fleet.EntryID) bool {
	return func(id fleet.EntryID) bool { return slices.Contains(names, strings.TrimSuffix(string(id), ".1")) }
}

// write executes a command on several records concurrently. It also reports whether the writes shared transactions and
// kept the interval of 25 ms between them.
func (c *cluster) write(command, name string, ids []string, async bool) string {
	e, before, begin := c.entries[name], c.table.Commits(), time.Now()
	results, records := make([]string, len(ids)), make([]claim.Record, len(ids))
	var g sync.WaitGroup
	for i, id := range ids {
		g.Go(func() {
			old := e.records[id]
			next := old
			var err error
			switch command {
			case "claim":
				records[i], err = e.Claim(c.t.Context(), claim.Record{
					Team: "x", ID: id, Owner: e.id, Async: async, Input: "in/" + id,
				})
			case "finish":
				next.State, next.Result = claim.Done, "out/"+id
				records[i], err = e.Replace(c.t.Context(), old, next)
			case "adopt":
				next.Owner = e.id
				next.Attempt++
				records[i], err = e.Replace(c.t.Context(), old, next)
			}
			results[i] = id + ": " + outcome(records[i], err)
		})
	}
	g.Wait()
	for i, id := range ids {
		e.records[id] = records[i]
	}
	n := int(c.table.Commits() - before)
	paced := n <= 2 && n <= 1+int((time.Since(begin)+time.Millisecond)/(25*time.Millisecond))
	return fmt.Sprintf("%s\npaced: %v", strings.Join(results, "\n"), paced)
}

func outcome(r claim.Record, err error) string {
	for _, e := range []error{
		claim.ErrExists, claim.ErrConflict, claim.ErrAbsent, claim.ErrUnavailable, claim.ErrUnknown,
	} {
		if errors.Is(err, e) {
			err = e
		}
	}
	if err != nil {
		return fmt.Sprintf("%v; present: %s owner %s", err, r.State, r.Owner)
	}
	return fmt.Sprintf("%s owner %s attempt %d", r.State, r.Owner, r.Attempt)
}
