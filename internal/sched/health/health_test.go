package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

var names = map[State]string{Healthy: "healthy", Suspect: "suspect", Quarantined: "quarantined", Probation: "probation"}

// script runs a file: "pool SIZE PERCENT", "advance TIME", "rounds N bad=w1,w2 queue=Q [broken]" lets every worker
// run one task of a queue N times, "outcome WORKER QUEUE KIND".
type script struct {
	w    *Monitor
	now  time.Time
	size int
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "pool":
		var percent int
		d.ScanArgs(t, "size", &s.size)
		d.ScanArgs(t, "percent", &percent)
		s.w.Resize(s.size, percent)
	case "advance":
		w, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(w)
		s.w.Advance(s.now)
	case "rounds":
		s.rounds(t, d)
	case "forget":
		s.w.Remove(fleet.InstanceID(d.CmdArgs[0].Key))
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	out := ""
	for i := range s.size {
		id := worker(i)
		if st := s.w.State(id); st != Healthy {
			out += fmt.Sprintf("%s %s, %d of 8 slots\n", id, names[st], s.w.Limit(id, 8))
		}
	}
	if out == "" {
		return "all healthy\n"
	}
	return out
}

func (s *script) rounds(t *testing.T, d *datadriven.TestData) {
	var n int
	var queue string
	d.ScanArgs(t, "n", &n)
	d.ScanArgs(t, "queue", &queue)
	bad := map[string]bool{}
	if a, ok := d.Arg("bad"); ok {
		for _, v := range a.Vals {
			bad[v] = true
		}
	}
	for r := range n {
		for i := range s.size {
			id := worker(i)
			if s.w.State(id) == Quarantined {
				continue
			}
			kind := peer.OutcomeDone
			if bad[string(id)] || d.HasArg("broken") || d.HasArg("flaky") && (r+i)%10 == 0 {
				kind = peer.OutcomeFailed
			}
			s.w.Observe(s.now, peer.Outcome{Worker: id, Queue: fleet.QueueName(queue), Kind: kind})
		}
	}
}

func worker(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprint("w", i)) }

// TestWatch runs the scripts in testdata; each names the failure it guards against.
func TestWatch(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{w: NewMonitor(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
		datadriven.RunTest(t, path, s.run)
	})
}

// TestContact guards against work for workers that do not answer, and against excluding one for a lost probe.
func TestContact(t *testing.T) {
	var c Contact
	for i, s := range []struct {
		event          string
		usable, proven bool
	}{{"new", false, false}, {"ok", true, false}, {"fail", true, false}, {"fail", false, false}, {"ok", true, false},
		{"block", false, false}, {"ok", true, false}, {"ok", true, true}} {
		switch s.event {
		case "ok", "fail":
			c.Probed(s.event == "ok")
		case "block":
			c.Block()
		}
		if c.Usable() != s.usable || c.Proven() != s.proven {
			t.Errorf("step %d, %s: usable %v, proven %v", i, s.event, c.Usable(), c.Proven())
		}
	}
}
