package engine

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// script runs a scheduler against workers and a store that do what the script says.
type script struct {
	t      *testing.T
	board  *Scheduler
	term   int64
	config work.Config
	fleet  []work.Worker
	store  map[string][]byte
	batch  Batch
	orders []Command
	asked  TicketRequest
	sent   map[work.WorkerID]Renewal
}

// Guards against double and lost runs, false states, broken limits and stalls in the decisions about jobs; each script
// names the failure it is about.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{t: t, store: map[string][]byte{}, sent: map[work.WorkerID]Renewal{}}
			s.takeOver()
			datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
		})
	})
}

func (s *script) takeOver() {
	s.term++
	s.board = New(DefaultOptions(), s.term, nil)
	var items []table.Item
	for _, k := range slices.Sorted(maps.Keys(s.store)) {
		items = append(items, table.Item{Key: k, Value: s.store[k]})
	}
	s.board.Restore(items)
	if s.config.Version > 0 {
		s.board.Configure(work.NewConfig(s.config))
	}
	s.board.SetWorkers(s.fleet)
	s.orders = nil
}

func (s *script) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "config":
		s.configure(d)
	case "fleet":
		s.fleet = nil
		for _, l := range lines(d) {
			s.fleet = append(s.fleet, s.worker(l))
		}
		s.board.SetWorkers(s.fleet)
	case "ready":
		for _, w := range s.fleet {
			s.board.HandleRenewal(Renewal{Worker: w.ID}, work.RenewalReply{Incarnation: w.Incarnation}, time.Now())
		}
		s.commit()
	case "submit":
		return s.submit(d)
	case "store":
		return s.begin()
	case "stored":
		s.finish()
	case "commit":
		return s.commit()
	case "takeover":
		s.takeOver()
	case "orders":
		s.orders = s.board.Commands()
		return s.list(d.HasArg("carried"))
	case "settle":
		return s.settle(d)
	case "next":
		return s.next(work.WorkerID(d.CmdArgs[0].Key))
	case "look":
		s.look(d)
	case "unanswered":
		id := work.WorkerID(d.CmdArgs[0].Key)
		s.board.HandleRenewalFailure(Renewal{Worker: id}, NoReply)
	case "wait":
		s.wait(d)
	case "cancel":
		v, err := s.board.Cancel(work.JobID(d.CmdArgs[0].Key))
		if err != nil {
			return err.Error()
		}
		return fmt.Sprintf("version %d, stored %t", v, s.board.Written(work.JobID(d.CmdArgs[0].Key), v))
	case "state":
		state, _, err := s.board.State(work.JobID(d.CmdArgs[0].Key))
		if err != nil {
			return err.Error()
		}
		return string(state)
	case "waiting":
		return strconv.Itoa(s.board.Waiting(d.CmdArgs[0].Key))
	case "hold":
		s.board.Cordon(work.WorkerID(d.CmdArgs[0].Key), !d.HasArg("off"))
	case "out":
		s.board.Evacuate(map[string]bool{d.CmdArgs[0].Key: true})
	case "ended":
		s.board.MarkWorkerEnded(work.WorkerID(d.CmdArgs[0].Key))
	case "loads":
		return s.loads()
	case "advise":
		s.advise(d)
	default:
		s.t.Fatalf("unknown command %q", d.Cmd)
	}
	return ""
}

func lines(d *datadriven.TestData) []string {
	if strings.TrimSpace(d.Input) == "" {
		return nil
	}
	return strings.Split(strings.TrimSpace(d.Input), "\n")
}

// fields splits "name key=value flag" into the name and a map in which flags have the value "".
func fields(line string) (string, map[string]string) {
	words := strings.Fields(line)
	m := map[string]string{}
	for _, w := range words[1:] {
		k, v, _ := strings.Cut(w, "=")
		m[k] = v
	}
	return words[0], m
}

func (s *script) number(text string) int64 {
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		s.t.Fatal(err)
	}
	return n
}

func (s *script) span(text string) time.Duration {
	if text == "" {
		return 0
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return v
}

func (s *script) need(m map[string]string) work.Need {
	return work.Need{CPU: s.number(m["cpu"]), Memory: s.number(m["mem"]), GPU: s.number(m["gpu"])}
}

func (s *script) configure(d *datadriven.TestData) {
	s.config = work.Config{Version: s.config.Version + 1, Pools: map[string]work.Pool{}, Customers: map[string]work.Customer{}}
	for _, l := range lines(d) {
		kind, m := fields(l)
		switch kind {
		case "queue":
			s.config.Queues = append(s.config.Queues, work.Queue{Name: m["name"], Pool: m["pool"],
				Attempts: int(s.number(m["attempts"])), Stretch: 1, Objective: s.span(m["objective"]),
				Priority: int(s.number(m["priority"])), NeedsTicket: advised(m)})
		case "customer":
			s.config.Customers[m["name"]] = work.Customer{Name: m["name"], Cap: s.need(m),
				Weight: float64(s.number(m["weight"]))}
		}
	}
	s.board.Configure(work.NewConfig(s.config))
}

func (s *script) worker(line string) work.Worker {
	name, m := fields(line)
	_, leaving := m["leaving"]
	w := work.Worker{ID: work.WorkerID(name), Pool: m["pool"], Address: name + ":1", Zone: m["zone"], Capacity: s.need(m),
		Leaving: leaving, DrainTime: s.span(m["left"]), Incarnation: 1}
	if m["born"] != "" {
		w.Incarnation = s.number(m["born"])
	}
	if m["labels"] != "" {
		w.Labels = strings.Split(m["labels"], ",")
	}
	return w
}

func (s *script) submit(d *datadriven.TestData) string {
	j := work.Job{ID: work.JobID(d.CmdArgs[0].Key), Accepted: time.Now().UnixMilli()}
	for _, a := range d.CmdArgs[1:] {
		switch a.Key {
		case "queue":
			j.Queue = a.Vals[0]
		case "customer":
			j.Customer = a.Vals[0]
		case "times":
			j.Repeats = int(s.number(a.Vals[0]))
			j.First = time.Now().Add(time.Second).UnixMilli()
			j.Interval = time.Second
		}
	}
	for _, l := range lines(d) {
		_, m := fields("step " + l)
		flag := func(name string) bool { _, ok := m[name]; return ok }
		step := work.Step{Count: max(1, int(s.number(m["count"]))), Need: s.need(m), Estimate: s.span(m["guess"]),
			MaxPerWorker: int(s.number(m["spread"])), Label: m["label"], Rack: m["rack"], LongRunning: flag("lasting"),
			Speculative: flag("copies"), Gang: flag("gang"), Checkpoints: flag("saves"), BestEffort: flag("fills"), SameRack: flag("tight"), LatencyObjective: s.span(m["tail"]),
			HasMaxUnavailable: flag("miss"), MaxUnavailable: int(s.number(m["miss"]))}
		if flag("after") {
			step.After = []int{int(s.number(m["after"]))}
		}
		j.Steps = append(j.Steps, step)
	}
	v, err := s.board.Submit(j)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("version %d, stored %t", v, s.board.Written(j.ID, v))
}

// begin takes the next batch to the store; its success is not known yet.
func (s *script) begin() string {
	var err error
	if s.batch, err = s.board.Batch(); err != nil {
		s.t.Fatal(err)
	}
	var names []string
	for _, w := range s.batch.Writes {
		if w.Delete {
			delete(s.store, w.Key)
			names = append(names, "-"+w.Key)
			continue
		}
		s.store[w.Key] = w.Value
		names = append(names, w.Key)
	}
	slices.Sort(names)
	return strings.Join(names, "\n")
}

func (s *script) finish() { s.board.Committed(s.batch) }

func (s *script) commit() string {
	names := s.begin()
	s.finish()
	return names
}

func (s *script) list(carried bool) string {
	var out []string
	for _, o := range s.orders {
		if a, ok := o.(TicketRequest); ok {
			s.asked = a
		}
		out = append(out, describe(o))
		if carried {
			s.board.HandleOutcome(o, Applied, time.Now())
		}
	}
	slices.Sort(out)
	return strings.Join(out, "\n")
}

func describe(o Command) string {
	switch o := o.(type) {
	case Start:
		text := fmt.Sprintf("start %s run=%d at %s", o.Run.Task, o.Run.Number, o.Worker)
		if o.Ticket != "" {
			text += " ticket " + o.Ticket
		}
		if o.Checkpoint != "" {
			text += " from " + o.Checkpoint
		}
		return text
	case Stop:
		return fmt.Sprintf("stop %s run=%d at %s", o.Run.Task, o.Run.Number, o.Worker)
	case TicketRequest:
		return fmt.Sprintf("ask %s of %v", o.Step, o.Workers)
	case Throttle:
		return fmt.Sprintf("pace %s run=%d at %s to %d", o.Run.Task, o.Run.Number, o.Worker, o.Percent)
	}
	return ""
}

var outcomes = map[string]Outcome{"carried": Applied, "notsent": NotSent, "noreply": NoReply, "full": Full,
	"replaced": Replaced, "ticketless": TicketRequired, "unhealthy": Unhealthy, "outdated": Outdated}

func (s *script) settle(d *datadriven.TestData) string {
	var text, result string
	d.ScanArgs(s.t, "task", &text)
	d.ScanArgs(s.t, "result", &result)
	for _, o := range s.orders {
		if strings.Contains(describe(o), " "+text+" ") {
			s.board.HandleOutcome(o, outcomes[result], time.Now())
			return ""
		}
	}
	return "no such order"
}

func (s *script) next(id work.WorkerID) string {
	o, pause, ok := s.board.NextRenewal(id)
	if !ok {
		return "no look"
	}
	o = s.board.PrepareRenewal(o)
	s.sent[id] = o
	return fmt.Sprintf("after %s, until %d, seen %d, wait %s", pause, o.Until, o.AckedEnd, o.Wait)
}

func advised(m map[string]string) bool { _, ok := m["advised"]; return ok }

// advise answers the last question: "worker ticket" a line, or nothing at all.
func (s *script) advise(d *datadriven.TestData) {
	var good []Ticket
	for _, l := range lines(d) {
		name, m := fields(l)
		good = append(good, Ticket{Worker: work.WorkerID(name), Text: m["ticket"]})
	}
	s.board.HandleTickets(s.asked, good, 2*time.Second, !d.HasArg("lost"))
}

func (s *script) task(text string) work.TaskID {
	p := strings.Split(text, ".")
	return work.TaskID{Job: work.JobID(p[0]), Round: int(s.number(p[1])), Step: int(s.number(p[2])), Index: int(s.number(p[3]))}
}

// look delivers the reply of a worker: "run TASK number=N percent=N level=N" and "end TASK number=N at=N how=WORD".
func (s *script) look(d *datadriven.TestData) {
	id := work.WorkerID(d.CmdArgs[0].Key)
	reply := work.RenewalReply{Incarnation: 1, Clock: time.Now().UnixMilli()}
	for _, w := range s.fleet {
		if w.ID == id {
			reply.Incarnation = w.Incarnation
		}
	}
	for _, l := range lines(d) {
		words := strings.Fields(l)
		_, m := fields(strings.Join(words[1:], " "))
		key := work.RunKey{Task: s.task(words[1]), Number: s.number(m["number"])}
		if words[0] == "run" {
			a := work.Active{Run: key, Percent: 100, LoadSignal: s.number(m["level"]), Checkpoint: m["saved"]}
			if m["percent"] != "" {
				a.Percent = int(s.number(m["percent"]))
			}
			reply.Active = append(reply.Active, a)
			continue
		}
		reply.Ended = append(reply.Ended, work.End{Number: s.number(m["at"]), Run: key, How: work.Ending(m["how"]),
			Checkpoint: m["saved"]})
	}
	time.Sleep(time.Millisecond)
	s.board.HandleRenewal(Renewal{Worker: id, AckedEnd: s.sent[id].AckedEnd}, reply, time.Now())
}

// wait lets time go by; the scheduler's clock work happens ten times a second as in the product.
func (s *script) wait(d *datadriven.TestData) {
	end := time.Now().Add(s.span(d.CmdArgs[0].Key))
	for time.Now().Before(end) {
		time.Sleep(min(100*time.Millisecond, time.Until(end)))
		s.board.Tick()
	}
}

func (s *script) loads() string {
	var out []string
	for _, l := range s.board.Demands() {
		out = append(out, fmt.Sprintf("%s running=%d waiting=%d lasting=%d apart=%d", l.Pool, l.Running, l.Waiting, l.LongRunning, l.SpreadMin))
	}
	slices.Sort(out)
	return strings.Join(out, "\n")
}
