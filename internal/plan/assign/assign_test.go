package assign

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
)

// Guards against relays that are slow or gone, against workers without a relay, against a relay that serves most of the
// workers, and against workers that change their relay for no reason, which costs connections.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		p := New(Default())
		var instances []Instance
		var workers []Worker
		var former Assignment
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "instances":
				instances = nil
				for _, l := range strings.Split(strings.TrimSpace(d.Input), "\n") {
					f := strings.Fields(l)
					for i := range number(t, f[1]) {
						delay, err := time.ParseDuration(f[2])
						if err != nil {
							t.Fatal(err)
						}
						instances = append(instances, Instance{Name: fmt.Sprintf("%s-%s-%d", f[0], f[2], i), Zone: f[0], Delay: delay})
					}
				}
			case "drop":
				instances = slices.DeleteFunc(instances, func(i Instance) bool { return i.Name == d.CmdArgs[0].Key })
			case "slow":
				for i := range instances {
					if instances[i].Name == d.CmdArgs[0].Key {
						instances[i].Delay = time.Second
					}
				}
			case "workers":
				workers = nil
				for _, l := range strings.Split(strings.TrimSpace(d.Input), "\n") {
					f := strings.Fields(l)
					for i := range number(t, f[1]) {
						workers = append(workers, Worker{ID: work.WorkerID(fmt.Sprintf("%s-%d", f[0], i)), Zone: f[0]})
					}
				}
			case "decide":
				next := p.Decide(instances, workers, former)
				text := describe(workers, next, former)
				former = next
				return text
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

func number(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// describe lists how many workers of which zones each relay serves, and how many have changed their relay.
func describe(workers []Worker, a, former Assignment) string {
	count := map[string]int{}
	changed := 0
	for _, w := range workers {
		r := a[w.ID]
		count[fmt.Sprintf("%s: %s", r, w.Zone)]++
		if f, ok := former[w.ID]; ok && f != r {
			changed++
		}
	}
	var lines []string
	for k, n := range count {
		lines = append(lines, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(lines)
	return strings.Join(append(lines, fmt.Sprintf("changed %d", changed)), "\n")
}
