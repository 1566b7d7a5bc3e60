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

// script runs a scheduler against workers and a store that behave as a datadriven script says.
type script struct {
	t         *testing.T
	scheduler *Scheduler
	term      int64
	config    work.Config
	workers   []work.Worker
	store     map[string][]byte
	batch     Batch
	commands  []Command
	request   TicketRequest
	renewals  map[work.WorkerID]Renewal
	// contention is Options.Contention.
	contention bool
}

// Guards against duplicate and lost runs, wrong job states, exceeded limits and stalls in scheduling; the head of each
// script says which failure it covers.
func TestScripts(t *testing.T) { runScripts(t, "testdata", false) }

// Guards against decisions that differ with the division of contended pools although no pool in the scripts is contended by a
// customer beyond its share.
func TestScriptsWithContention(t *testing.T) { runScripts(t, "testdata", true) }

func runScripts(t *testing.T, dir string, contention bool) {
	datadriven.Walk(t, dir, func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{t: t, store: map[string][]byte{}, renewals: map[work.WorkerID]Renewal{}, contention: contention}
			s.takeOver()
			datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return s.run(d) })
		})
	})
}

func (s *script) takeOver() {
	s.term++
	options := DefaultOptions()
	options.Contention = s.contention
	s.scheduler = New(options, s.term, nil)
	s.scheduler.ConfirmFences(100*s.term, 100*s.term+99)
	var items []table.Item
	for _, k := range slices.Sorted(maps.Keys(s.store)) {
		items = append(items, table.Item{Key: k, Value: s.store[k]})
	}
	s.scheduler.Restore(items)
	if s.config.Version > 0 {
		s.scheduler.Configure(work.NewConfig(s.config))
	}
	s.scheduler.SetWorkers(s.workers)
	s.commands = nil
}

// run executes one command of a script. "orders" lists the commands that are due and, with "carried", reports them all
// as applied, "settle" reports the outcome of one, sent a time "ago"; "next" prepares a renewal, "look" and "unanswered" deliver a reply
// to it, with "born" one of that incarnation, or none, "advise" replies to the last ticket request; "ready" lets every
// worker report empty run lists and commits a batch; "takeover" replaces the scheduler with that of the next leader, "unrecorded" by one that must assume starts without a record; "confirmed" confirms leadership as of now, before the first of them
// leases expire unconditionally; "machines" delivers a list of machines, "NAME worker=ID" on each line; "hold" cordons a worker, "close" closes it, "due" names the workers to be maintained soon, "out" evacuates a zone.
func (s *script) run(d *datadriven.TestData) string {
	switch d.Cmd {
	case "config":
		s.configure(d)
	case "fleet":
		s.workers = nil
		for _, l := range lines(d) {
			s.workers = append(s.workers, s.worker(l))
		}
		s.scheduler.SetWorkers(s.workers)
	case "ready":
		for _, w := range s.workers {
			s.scheduler.HandleRenewal(Renewal{Worker: w.ID, Fence: s.fence(w.ID)}, work.RenewalReply{Incarnation: w.Incarnation},
				time.Now())
		}
		s.commit()
	case "submit":
		return s.submit(d)
	case "store":
		return s.takeBatch()
	case "stored":
		s.confirmBatch()
	case "commit":
		return s.commit()
	case "takeover":
		s.takeOver()
		if d.HasArg("unrecorded") {
			s.scheduler.AssumeUnrecordedStarts()
		}
	case "orders":
		s.commands = append(s.scheduler.Commands(), recordStarts(s.scheduler, s.store)...)
		return s.listCommands(d.HasArg("carried"))
	case "settle":
		return s.handleOutcome(d)
	case "next":
		return s.nextRenewal(work.WorkerID(d.CmdArgs[0].Key))
	case "look":
		s.handleRenewal(d)
	case "unanswered":
		id := work.WorkerID(d.CmdArgs[0].Key)
		o := s.renewals[id]
		o.Worker = id
		delete(s.renewals, id)
		s.scheduler.HandleRenewalFailure(o, NoReply)
	case "wait":
		s.wait(d)
	case "cancel":
		v, err := s.scheduler.Cancel(work.JobID(d.CmdArgs[0].Key))
		if err != nil {
			return err.Error()
		}
		return fmt.Sprintf("version %d, stored %t", v, s.scheduler.IsStored(work.JobID(d.CmdArgs[0].Key), v))
	case "state":
		state, _, err := s.scheduler.State(work.JobID(d.CmdArgs[0].Key))
		if err != nil {
			return err.Error()
		}
		return string(state)
	case "waiting":
		return strconv.Itoa(s.scheduler.Waiting(d.CmdArgs[0].Key))
	case "hold":
		s.scheduler.Cordon(work.WorkerID(d.CmdArgs[0].Key), !d.HasArg("off"))
	case "due":
		var ids []work.WorkerID
		for _, a := range d.CmdArgs {
			ids = append(ids, work.WorkerID(a.Key))
		}
		s.scheduler.SetDue(ids)
	case "close":
		s.scheduler.Close(work.WorkerID(d.CmdArgs[0].Key), !d.HasArg("off"))
	case "out":
		s.scheduler.Evacuate(map[string]bool{d.CmdArgs[0].Key: true})
	case "machines":
		machines := map[string]Machine{}
		for _, l := range lines(d) {
			name, m := fields(l)
			machines[name] = Machine{Worker: work.WorkerID(m["worker"]), Up: m["worker"] != ""}
		}
		s.scheduler.Reconcile(machines, time.Now())
	case "ended":
		s.scheduler.MarkWorkerEnded(work.WorkerID(d.CmdArgs[0].Key))
	case "confirmed":
		s.scheduler.ConfirmLeadership(time.Now())
	case "loads":
		return s.demands()
	case "advise":
		s.handleTickets(d)
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

func (s *script) duration(text string) time.Duration {
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
	s.config = work.Config{Version: s.config.Version + 1, Pools: map[string]work.Pool{},
		Customers: map[string]work.Customer{}}
	for _, l := range lines(d) {
		kind, m := fields(l)
		switch kind {
		case "queue":
			s.config.Queues = append(s.config.Queues, work.Queue{Name: m["name"], Pool: m["pool"],
				Attempts: int(s.number(m["attempts"])), Stretch: 1, Objective: s.duration(m["objective"]),
				Priority: int(s.number(m["priority"])), NeedsTicket: needsTicket(m), TicketCallTime: s.duration(m["decide"]),
				TicketWorkerTime: s.duration(m["each"]), TicketTTL: s.duration(m["valid"])})
		case "customer":
			s.config.Customers[m["name"]] = work.Customer{Name: m["name"], Cap: s.need(m),
				Weight: float64(s.number(m["weight"]))}
		}
	}
	s.scheduler.Configure(work.NewConfig(s.config))
}

func (s *script) worker(line string) work.Worker {
	name, m := fields(line)
	_, leaving := m["leaving"]
	w := work.Worker{ID: work.WorkerID(name), Pool: m["pool"], Address: name + ":1", Zone: m["zone"], Capacity: s.need(m),
		Leaving: leaving, DrainTime: s.duration(m["left"]), Incarnation: 1, Machine: m["machine"]}
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
		step := work.Step{Count: max(1, int(s.number(m["count"]))), Need: s.need(m), Estimate: s.duration(m["guess"]),
			MaxPerWorker: int(s.number(m["spread"])), Label: m["label"], Rack: m["rack"], LongRunning: flag("lasting"),
			Speculative: flag("copies"), Gang: flag("gang"), Checkpoints: flag("saves"), BestEffort: flag("fills"),
			SameRack: flag("tight"), LatencyObjective: s.duration(m["tail"]), HasMaxUnavailable: flag("miss"),
			MaxUnavailable: int(s.number(m["miss"]))}
		if flag("after") {
			step.After = []int{int(s.number(m["after"]))}
		}
		j.Steps = append(j.Steps, step)
	}
	v, err := s.scheduler.Submit(j)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("version %d, stored %t", v, s.scheduler.IsStored(j.ID, v))
}

// takeBatch writes the next batch to the store without confirming the commit to the scheduler.
func (s *script) takeBatch() string {
	var err error
	if s.batch, err = s.scheduler.Batch(); err != nil {
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
	writeStarts(s.scheduler, s.store)
	return strings.Join(names, "\n")
}

func (s *script) confirmBatch() {
	s.scheduler.HandleCommit(s.batch)
	s.scheduler.ConfirmStarts()
}

func (s *script) commit() string {
	names := s.takeBatch()
	s.confirmBatch()
	return names
}

func (s *script) listCommands(apply bool) string {
	var out []string
	for _, c := range s.commands {
		if r, ok := c.(TicketRequest); ok {
			s.request = r
		}
		out = append(out, describe(c))
		if apply {
			s.scheduler.HandleOutcome(c, Applied, time.Now())
		}
	}
	slices.Sort(out)
	return strings.Join(out, "\n")
}

func describe(c Command) string {
	switch c := c.(type) {
	case Start:
		text := fmt.Sprintf("start %s run=%d at %s", c.Run.Task, c.Run.Number, c.Worker)
		if c.Ticket != "" {
			text += " ticket " + c.Ticket
		}
		if c.Checkpoint != "" {
			text += " from " + c.Checkpoint
		}
		return text
	case Stop:
		return fmt.Sprintf("stop %s run=%d at %s", c.Run.Task, c.Run.Number, c.Worker)
	case TicketRequest:
		return fmt.Sprintf("ask %s of %v", c.Step, c.Workers)
	case Throttle:
		return fmt.Sprintf("pace %s run=%d at %s to %d", c.Run.Task, c.Run.Number, c.Worker, c.Percent)
	}
	return ""
}

var outcomes = map[string]Outcome{"carried": Applied, "notsent": NotSent, "noreply": NoReply, "full": Full,
	"replaced": Replaced, "ticketless": TicketRequired, "unhealthy": Unhealthy, "outdated": Outdated, "withheld": Withheld,
	"again": AppliedAgain, "declinedagain": DeclinedAgain, "relaylost": RelayLost}

func (s *script) handleOutcome(d *datadriven.TestData) string {
	var text, result string
	d.ScanArgs(s.t, "task", &text)
	d.ScanArgs(s.t, "result", &result)
	sent := time.Now()
	if d.HasArg("ago") {
		var ago string
		d.ScanArgs(s.t, "ago", &ago)
		sent = sent.Add(-s.duration(ago))
	}
	for _, c := range s.commands {
		if strings.Contains(describe(c), " "+text+" ") {
			s.scheduler.HandleOutcome(c, outcomes[result], sent)
			return ""
		}
	}
	return "no such command"
}

func (s *script) nextRenewal(id work.WorkerID) string {
	r, delay, ok := s.scheduler.NextRenewal(id)
	if !ok {
		return "no look"
	}
	r = s.scheduler.PrepareRenewal(r)
	s.renewals[id] = r
	text := fmt.Sprintf("after %s, until %d, seen %d, wait %s", delay, r.LeaseEnd, r.AckedEnd, r.Wait)
	if r.Patient {
		text += ", patient"
	}
	if r.Prompt {
		text += ", prompt"
	}
	return text
}

func needsTicket(m map[string]string) bool { _, ok := m["advised"]; return ok }

// handleTickets replies to the last ticket request with the tickets of the input, "WORKER ticket=TEXT" on each line;
// the argument "lost" stands for no reply.
func (s *script) handleTickets(d *datadriven.TestData) {
	var granted []Ticket
	for _, l := range lines(d) {
		name, m := fields(l)
		granted = append(granted, Ticket{Worker: work.WorkerID(name), Text: m["ticket"]})
	}
	s.scheduler.HandleTickets(s.request, granted, 2*time.Second, !d.HasArg("lost"))
}

func (s *script) task(text string) work.TaskID {
	p := strings.Split(text, ".")
	return work.TaskID{Job: work.JobID(p[0]), Round: int(s.number(p[1])), Step: int(s.number(p[2])),
		Index: int(s.number(p[3]))}
}

// handleRenewal delivers a worker's reply to a renewal. The input has a line for each run: "run TASK number=N percent=N
// level=N saved=TEXT" for an active one, "end TASK number=N at=N how=WORD saved=TEXT" for an ended one; the argument
// "truncated" means that the worker has more ends. A reply that shows a restart is followed by the same reply to the next
// renewal, which has a higher fencing token, unless "once" is given.
func (s *script) handleRenewal(d *datadriven.TestData) {
	id := work.WorkerID(d.CmdArgs[0].Key)
	reply := work.RenewalReply{Incarnation: 1, Clock: time.Now().UnixMilli(), Truncated: d.HasArg("truncated")}
	for _, w := range s.workers {
		if w.ID == id {
			reply.Incarnation = w.Incarnation
		}
	}
	for _, a := range d.CmdArgs[1:] {
		if a.Key == "born" {
			reply.Incarnation = s.number(a.Vals[0])
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
	o := Renewal{Worker: id, AckedEnd: s.renewals[id].AckedEnd, Incarnation: s.renewals[id].Incarnation, Fence: s.fence(id)}
	if r, ok := s.renewals[id]; ok && r.Fence > 0 {
		o.Fence = r.Fence
		r.Fence = 0
		s.renewals[id] = r
	}
	s.scheduler.HandleRenewal(o, reply, time.Now())
	if fence := s.fence(id); fence > o.Fence && !d.HasArg("once") {
		o.Fence = fence
		time.Sleep(time.Millisecond)
		s.scheduler.HandleRenewal(o, reply, time.Now())
	}
}

// fence returns the fencing token of a renewal that is sent now.
func (s *script) fence(id work.WorkerID) int64 {
	w, ok := s.scheduler.workers[id]
	if !ok {
		return 0
	}
	return s.scheduler.fence(w)
}

// wait lets time pass and calls Tick ten times a second, as in production.
func (s *script) wait(d *datadriven.TestData) {
	end := time.Now().Add(s.duration(d.CmdArgs[0].Key))
	for time.Now().Before(end) {
		time.Sleep(min(100*time.Millisecond, time.Until(end)))
		s.scheduler.Tick()
	}
}

func (s *script) demands() string {
	var out []string
	for _, l := range s.scheduler.Demands() {
		out = append(out, fmt.Sprintf("%s running=%d waiting=%d lasting=%d apart=%d",
			l.Pool, l.Running, l.Waiting, l.LongRunning, l.SpreadMin))
	}
	slices.Sort(out)
	return strings.Join(out, "\n")
}
