package store_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/lab/port"
	"github.com/yuccahaven/yuccahaven/internal/lab/store"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/object"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

type clients struct {
	store  *store.Store
	table  *table.Client
	object *object.Client
	roster *roster.Client
}

// TestScripts guards against a client that reports a write as not applied although it took effect, or the reverse,
// and against a fake store whose conditions, versions or roster lag differ from the platform's.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			n := port.NewNetwork()
			o := rest.WithTransport(n)
			c := &clients{
				store: store.New(store.WithLag(2 * time.Second)), table: table.NewClient("http://table", o),
				object: object.NewClient("http://object", o), roster: roster.NewClient("http://roster", o),
			}
			c.store.Join(n)
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				var out strings.Builder
				for _, line := range strings.Split(d.Input, "\n") {
					if f := strings.Fields(line); len(f) > 0 {
						fmt.Fprintf(&out, "%s: %s\n", line, c.execute(t, f))
					}
				}
				return out.String()
			})
		})
	})
}

func (c *clients) execute(t *testing.T, f []string) string {
	ctx := context.Background()
	switch f[0] {
	case "get":
		return items(c.table.Get(ctx, f[1:]...))
	case "scan":
		return items(c.table.Scan(ctx, f[1], after(f), 2))
	case "commit":
		n, err := c.table.Commit(ctx, transaction(t, f[1:]))
		return resultText(err, n)
	case "put":
		return resultText(c.object.Put(ctx, f[1], []byte(f[2])))
	case "read":
		body, err := c.object.Get(ctx, f[1])
		return resultText(err, string(body))
	case "delete":
		return resultText(c.object.Delete(ctx, f[1]))
	case "add":
		c.store.Put(roster.Listing{ID: fleet.InstanceID(f[1]), State: roster.Live})
		return "ok"
	case "leave":
		return resultText(c.store.Leave(fleet.InstanceID(f[1])))
	case "remove":
		c.store.Remove(fleet.InstanceID(f[1]))
		return "ok"
	case "list":
		l, err := c.roster.List(ctx)
		var s []any
		for _, i := range l {
			s = append(s, i.ID, i.State)
		}
		return resultText(err, s...)
	case "reboot":
		return resultText(c.roster.Reboot(ctx, fleet.InstanceID(f[1]), "v2"))
	case "sleep":
		d, err := time.ParseDuration(f[1])
		time.Sleep(d)
		return resultText(err)
	case "outage":
		return resultText(c.store.SetAll(store.Faults{Outage: store.Outage(strings.Join(f[1:], ""))}))
	case "lose":
		return resultText(c.store.SetAll(store.Faults{Lose: 1}))
	case "slow":
		return resultText(c.store.SetAll(store.Faults{Delay: 3 * time.Second}))
	case "counters":
		return fmt.Sprintf("%+v", c.store.Counters(store.Table))
	}
	t.Fatalf("unknown step %v", f)
	return ""
}

func after(f []string) string {
	if len(f) > 2 {
		return f[2]
	}
	return ""
}

// transaction reads conditions as key@version, writes as key=value and deletions as -key.
func transaction(t *testing.T, f []string) table.Transaction {
	var tr table.Transaction
	for _, s := range f {
		if k, v, ok := strings.Cut(s, "@"); ok {
			c := table.Condition{Key: k}
			if _, err := fmt.Sscan(v, &c.Version); err != nil {
				t.Fatal(err)
			}
			tr.Conditions = append(tr.Conditions, c)
		} else if k, v, ok := strings.Cut(s, "="); ok {
			tr.Writes = append(tr.Writes, table.Write{Key: k, Value: []byte(v)})
		} else {
			tr.Writes = append(tr.Writes, table.Write{Key: s[1:], Delete: true})
		}
	}
	return tr
}

func items(found []table.Item, err error) string {
	var s []any
	for _, it := range found {
		s = append(s, fmt.Sprintf("%s=%s@%d", it.Key, it.Value, it.Version))
	}
	return resultText(err, s...)
}

func resultText(err error, what ...any) string {
	for _, k := range []error{table.ErrConflict, table.ErrUnavailable, table.ErrUnknown, object.ErrAbsent,
		object.ErrUnavailable, roster.ErrAbsent, roster.ErrUnavailable, roster.ErrUnknown} {
		if errors.Is(err, k) {
			return k.Error()
		}
	}
	if err != nil {
		return "unexpected: " + err.Error()
	}
	return strings.TrimSpace("ok " + strings.TrimSpace(fmt.Sprintln(what...)))
}
