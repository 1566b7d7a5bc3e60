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

// objects counts deletions by name.
type objects struct {
	mu      sync.Mutex
	deleted []string
}

func (o *objects) Put(context.Context, string, []byte) error   { return nil }
func (o *objects) Get(context.Context, string) ([]byte, error) { return nil, nil }
func (o *objects) Delete(_ context.Context, name string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deleted = append(o.deleted, name)
	return nil
}

// desk is the Repository of one entry instance; records are the last ones it saw, by id.
type desk struct {
	*claim.Repository
	id      fleet.EntryID
	link    *fakes.Link
	stop    context.CancelFunc
	records map[string]claim.Record
}

type office struct {
	t       *testing.T
	table   *fakes.Table
	objects *objects
	desks   map[string]*desk
}

func (o *office) open(name string) {
	d := &desk{id: fleet.EntryID(name + ".1"), link: o.table.Link(), records: map[string]claim.Record{}}
	d.Repository = claim.New(func() fleet.EntryID { return d.id }, d.link, o.objects)
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go d.Run(ctx)
	o.desks[name] = d
}

// Guards against a record that is written twice, lost, reported wrongly, kept for ever or deleted too early.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			o := &office{t: t, table: fakes.NewTable(), objects: &objects{}, desks: map[string]*desk{}}
			t.Cleanup(o.close)
			o.open("a")
			o.open("b")
			datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
				out := o.run(d)
				synctest.Wait()
				return strings.TrimLeft(out+"\n", "\n")
			})
		})
	})
}

func (o *office) close() {
	for _, d := range o.desks {
		d.stop()
	}
	time.Sleep(time.Minute) // writes that are still open run into their timeouts
}

func (o *office) run(d *datadriven.TestData) string {
	var words []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			words = append(words, a.Key)
		}
	}
	switch d.Cmd {
	case "claim", "finish", "adopt":
		return o.write(d.Cmd, words[0], words[1:], d.HasArg("async"))
	case "find":
		return outcome(o.desks[words[0]].Find(o.t.Context(), "x", words[1]))
	case "orphans":
		found, err := o.desks[words[0]].Orphans(o.t.Context(), live(words[1:]))
		ids := []string{fmt.Sprint(err)}
		for _, r := range found {
			ids = append(ids, r.ID)
			o.desks[words[0]].records[r.ID] = r
		}
		return strings.Join(ids, " ")
	case "sweep":
		if err := o.desks[words[0]].Sweep(o.t.Context(), live(words[1:]), func(fleet.EntryID) bool { return true }); err != nil {
			return err.Error()
		}
	case "store":
		f := fakes.Faults{Down: d.HasArg("down"), LateBy: 70 * time.Millisecond}
		d.MaybeScanArgs(o.t, "lose", &f.Lose)
		d.MaybeScanArgs(o.t, "drop", &f.Drop)
		d.MaybeScanArgs(o.t, "late", &f.Late)
		o.desks[words[0]].link.Set(f)
	case "wait":
		w, err := time.ParseDuration(words[0])
		if err != nil {
			d.Fatalf(o.t, "%v", err)
		}
		time.Sleep(w)
	case "keys":
		items, _ := o.table.Link().Scan(o.t.Context(), words[0], "", 1000)
		return fmt.Sprintf("%d keys, objects deleted: %v", len(items), o.objects.deleted)
	default:
		d.Fatalf(o.t, "unknown command")
	}
	return ""
}

func live(names []string) func(fleet.EntryID) bool {
	return func(id fleet.EntryID) bool { return slices.Contains(names, strings.TrimSuffix(string(id), ".1")) }
}

// write does the same to several records at the same time. It also tells whether they shared transactions
// and kept the interval of 25 ms between them.
func (o *office) write(command, name string, ids []string, async bool) string {
	d, before, begin := o.desks[name], o.table.Commits(), time.Now()
	results, records := make([]string, len(ids)), make([]claim.Record, len(ids))
	var g sync.WaitGroup
	for i, id := range ids {
		g.Go(func() {
			old := d.records[id]
			next := old
			var err error
			switch command {
			case "claim":
				records[i], err = d.Claim(o.t.Context(), claim.Record{Team: "x", ID: id, Owner: d.id, Async: async, Input: "in/" + id})
			case "finish":
				next.State, next.Result = claim.Done, "out/"+id
				records[i], err = d.Replace(o.t.Context(), old, next)
			case "adopt":
				next.Owner = d.id
				next.Attempt++
				records[i], err = d.Replace(o.t.Context(), old, next)
			}
			results[i] = id + ": " + outcome(records[i], err)
		})
	}
	g.Wait()
	for i, id := range ids {
		d.records[id] = records[i]
	}
	n := int(o.table.Commits() - before)
	paced := n <= 2 && n <= 1+int((time.Since(begin)+time.Millisecond)/(25*time.Millisecond))
	return fmt.Sprintf("%s\npaced: %v", strings.Join(results, "\n"), paced)
}

func outcome(r claim.Record, err error) string {
	for _, e := range []error{claim.ErrExists, claim.ErrConflict, claim.ErrAbsent, claim.ErrUnavailable, claim.ErrUnknown} {
		if errors.Is(err, e) {
			err = e
		}
	}
	if err != nil {
		return fmt.Sprintf("%v; present: %s owner %s", err, r.State, r.Owner)
	}
	return fmt.Sprintf("%s owner %s attempt %d", r.State, r.Owner, r.Attempt)
}
