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

type bench struct {
	worker  *lab.Worker
	client  *worker.Client
	journal *record.Log[record.Journal]
	seen    int
}

// TestScripts guards against a stand-in that is kinder than the platform: late starts after a reservation lapsed,
// starts of fenced ids, a second run by a repeated start, tasks that outlive their lease, and what reboots forget.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			b := &bench{journal: &record.Log[record.Journal]{}}
			b.worker = lab.New(roster.Listing{ID: "w1", Address: address, Zone: "a"}, b.journal)
			n := port.NewNetwork()
			b.worker.Join(n)
			b.client = worker.NewClient(rest.WithTransport(n))
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return b.run(t, d) })
		})
	})
}

func (b *bench) run(t *testing.T, d *datadriven.TestData) string {
	var out strings.Builder
	for _, line := range strings.Split(d.Input, "\n") {
		if f := strings.Fields(line); len(f) > 0 {
			out.WriteString(b.step(t, f))
		}
	}
	synctest.Wait()
	if d.HasArg("journal") {
		for _, r := range b.journal.Records()[b.seen:] {
			fmt.Fprintf(&out, "journal: %s\n", strings.TrimSpace(fmt.Sprint(r.Event, " ", r.Task, " ", r.State, " ", r.Detail)))
		}
	}
	b.seen = len(b.journal.Records())
	return out.String()
}

func (b *bench) step(t *testing.T, f []string) string {
	ctx := context.Background()
	id := fleet.TaskID("")
	if len(f) > 1 {
		id = fleet.TaskID(f[1])
	}
	say := func(err error, rest ...any) string {
		if err != nil {
			return fmt.Sprintf("%s: %s\n", strings.Join(f, " "), kind(err))
		}
		return fmt.Sprintf("%s: ok %s\n", strings.Join(f, " "), strings.TrimSpace(fmt.Sprintln(rest...)))
	}
	switch f[0] {
	case "reserve":
		return say(b.client.Reserve(ctx, address, worker.Reservation{Task: id, Team: "t", Pool: "p", Slots: number(t, f[2]), TTL: time.Second}))
	case "start":
		s := worker.Start{Task: id, Lease: 10 * time.Second, Input: []byte(strings.Join(f[2:], " "))}
		return say(b.client.Start(ctx, address, s))
	case "await":
		s, err := b.client.Await(ctx, address, id, duration(t, f[2]))
		return say(err, s.State, s.Length, s.Error)
	case "result":
		answer, err := b.client.Result(ctx, address, id)
		return say(err, len(answer))
	case "renew":
		s, err := b.client.Renew(ctx, address, 10*time.Second, []fleet.TaskID{id})
		return say(err, len(s))
	case "stop":
		s, err := b.client.Stop(ctx, address, id, true)
		return say(err, s.State, string(s.Checkpoint))
	case "acknowledge":
		return say(b.client.Acknowledge(ctx, address, id))
	case "report":
		r, err := b.client.Report(ctx, address)
		return say(err, r.Used, r.Leaving, r.Boot, r.Version)
	case "sleep":
		time.Sleep(duration(t, f[1]))
		return ""
	}
	action, off := strings.CutSuffix(f[0], "-off")
	text := strings.Join(f[1:], " ")
	return say(b.worker.Apply(lab.Switch{Action: lab.Action(action), Off: off, Text: text, Refuse: true, Factor: 2}))
}

func kind(err error) string {
	for _, k := range []error{worker.ErrBusy, worker.ErrLeaving, worker.ErrReservationExpired, worker.ErrFenced, worker.ErrUnknown,
		worker.ErrRefused, worker.ErrNoReply, worker.ErrDamaged, lab.ErrNotIdle} {
		if errors.Is(err, k) {
			return k.Error()
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

// Guards against answers that a checker can't tell from those of another request.
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
