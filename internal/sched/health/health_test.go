package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

var stateNames = map[State]string{
	Healthy: "healthy", Suspect: "suspect", Quarantined: "quarantined", Probation: "probation",
}

// script runs a file of testdata: "pool size=N percent=P" sets the workers and the cap, "advance TIME" advances the
// time, "forget WORKER" removes a worker, and "rounds n=N queue=Q" lets every worker that is not quarantined run one
// task of a queue N times. In a round the workers of "bad=(w1,w2)" fail, with "broken" all workers, with "flaky" one in
// ten.
type script struct {
	m    *Monitor
	now  time.Time
	size int
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "pool":
		var percent int
		d.ScanArgs(t, "size", &s.size)
		d.ScanArgs(t, "percent", &percent)
		s.m.Resize(s.size, percent)
	case "advance":
		w, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(w)
		s.m.Advance(s.now)
	case "rounds":
		s.rounds(t, d)
	case "forget":
		s.m.Remove(fleet.InstanceID(d.CmdArgs[0].Key))
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	out := ""
	for i := range s.size {
		id := worker(i)
		if st := s.m.State(id); st != Healthy {
			out += fmt.Sprintf("%s %s, %d of 8 slots\n", id, stateNames[st], s.m.Limit(id, 8))
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
			if s.m.State(id) == Quarantined {
				continue
			}
			kind := peer.OutcomeDone
			if bad[string(id)] || d.HasArg("broken") || d.HasArg("flaky") && (r+i)%10 == 0 {
				kind = peer.OutcomeFailed
			}
			s.m.Observe(s.now, peer.Outcome{Worker: id, Queue: fleet.QueueName(queue), Kind: kind})
		}
	}
}

func worker(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprint("w", i)) }

// TestMonitor runs the scripts in testdata; each states the failure it guards against.
func TestMonitor(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{m: NewMonitor(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
		datadriven.RunTest(t, path, s.run)
	})
}

// TestReachability guards against work for workers that do not answer probes, and against excluding a worker for a
// single lost probe.
func TestReachability(t *testing.T) {
	var r Reachability
	for i, s := range []struct {
		event          string
		usable, proven bool
	}{{"new", false, false}, {"ok", true, false}, {"fail", true, false}, {"fail", false, false}, {"ok", true, false},
		{"block", false, false}, {"ok", true, false}, {"ok", true, true}} {
		switch s.event {
		case "ok", "fail":
			r.ObserveProbe(s.event == "ok")
		case "block":
			r.Block()
		}
		if r.Usable() != s.usable || r.Proven() != s.proven {
			t.Errorf("step %d, %s: usable %v, proven %v", i, s.event, r.Usable(), r.Proven())
		}
	}
}
