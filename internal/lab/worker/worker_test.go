package worker_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/lab/input"
	"github.com/yuccahaven/yuccahaven/internal/lab/port"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	lab "github.com/yuccahaven/yuccahaven/internal/lab/worker"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

const address = "w1:80"

// fixture is a fake worker in an in-memory network, with a client and the worker's journal.
type fixture struct {
	worker  *lab.Worker
	client  *worker.Client
	journal *record.Log[record.Journal]
	printed int // records of the journal that were printed
}

// TestScripts guards against a fake worker that is more lenient than the platform: starts after the reservation
// expired, starts of fenced ids, a second run by a repeated start, tasks that outlive their lease, and state that
// survives a reboot.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			x := &fixture{journal: &record.Log[record.Journal]{}}
			x.worker = lab.New(roster.Listing{ID: "w1", Address: address, Zone: "a"}, x.journal)
			n := port.NewNetwork()
			x.worker.Join(n)
			x.client = worker.NewClient(rest.WithTransport(n))
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return x.run(t, d) })
		})
	})
}

func (x *fixture) run(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	for _, line := range strings.Split(d.Input, "\n") {
		if f := strings.Fields(line); len(f) > 0 {
			out.WriteString(x.step(t, f))
		}
	}
	synctest.Wait()
	if d.HasArg("journal") {
		for _, r := range x.journal.Records()[x.printed:] {
			fmt.Fprintf(&out, "journal: %s\n", strings.TrimSpace(fmt.Sprint(r.Event, " ", r.Task, " ", r.State, " ", r.Detail)))
		}
	}
	x.printed = len(x.journal.Records())
	return out.String()
}

func (x *fixture) step(t *testing.T, f []string) string {
	ctx := context.Background()
	id := fleet.TaskID("")
	if len(f) > 1 {
		id = fleet.TaskID(f[1])
	}
	result := func(err error, values ...any) string {
		if err != nil {
			return fmt.Sprintf("%s: %s\n", strings.Join(f, " "), errorText(err))
		}
		return fmt.Sprintf("%s: ok %s\n", strings.Join(f, " "), strings.TrimSpace(fmt.Sprintln(values...)))
	}
	switch f[0] {
	case "reserve":
		return result(x.client.Reserve(ctx, address, worker.Reservation{
			Task: id, Team: "t", Pool: "p", Slots: number(t, f[2]), TTL: time.Second,
		}))
	case "start":
		s := worker.Start{Task: id, Lease: 10 * time.Second, Input: []byte(strings.Join(f[2:], " "))}
		return result(x.client.Start(ctx, address, s))
	case "await":
		s, err := x.client.Await(ctx, address, id, duration(t, f[2]))
		return result(err, s.State, s.Length, s.Error)
	case "result":
		answer, err := x.client.Result(ctx, address, id)
		return result(err, len(answer))
	case "renew":
		s, err := x.client.Renew(ctx, address, 10*time.Second, []fleet.TaskID{id})
		return result(err, len(s))
	case "stop":
		s, err := x.client.Stop(ctx, address, id, true)
		return result(err, s.State, string(s.Checkpoint))
	case "acknowledge":
		return result(x.client.Acknowledge(ctx, address, id))
	case "report":
		r, err := x.client.Report(ctx, address)
		return result(err, r.Used, r.Leaving, r.Boot, r.Version)
	case "sleep":
		time.Sleep(duration(t, f[1]))
		return ""
	}
	action, off := strings.CutSuffix(f[0], "-off")
	text := strings.Join(f[1:], " ")
	return result(x.worker.Apply(lab.ControlRequest{
		Action: lab.Action(action), Off: off, Text: text, Refuse: true, Factor: 2,
	}))
}

func errorText(err error) string {
	for _, known := range []error{
		worker.ErrBusy, worker.ErrLeaving, worker.ErrReservationExpired, worker.ErrFenced, worker.ErrUnknown,
		worker.ErrRefused, worker.ErrNoReply, worker.ErrDamaged, lab.ErrNotIdle,
	} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "unexpected: " + err.Error()
}

func duration(t *testing.T, s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func number(t *testing.T, s string) (n int) {
	if _, err := fmt.Sscan(s, &n); err != nil {
		t.Fatal(err)
	}
	return n
}

// Guards against answers that a check can't tell from those to another request.
func TestAnswerDependsOnWholeInput(t *testing.T) {
	h := input.Header{Size: 64}
	a, b := input.Answer(input.Encode(h, []byte("a"))), input.Answer(input.Encode(h, []byte("b")))
	if len(a) != 64 || string(a) == string(b) {
		t.Fatalf("answers of %d bytes to different inputs are the same", len(a))
	}
	if got := input.Answer(nil); len(got) != 0 {
		t.Fatalf("answer of %d bytes to an empty input", len(got))
	}
}
