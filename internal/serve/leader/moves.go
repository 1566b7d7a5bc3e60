package leader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plan/shift"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
)

// Machine is a machine in the platform's list.
type Machine struct {
	Name, Pool, Zone string
	// Up means that the machine is neither moving nor in maintenance nor down.
	Up            bool
	InMaintenance bool
	// Worker is the id of the machine's worker, "" without one.
	Worker   string
	Capacity work.Need
}

// Result is the result of a call for a machine operation.
type Result int

// The results.
const (
	// Started: the operation has started now or had before.
	Started Result = iota
	// Busy: the platform can't take the machine now.
	Busy
	// Refused: the operation is impossible for this machine.
	Refused
	// Unavailable: nothing was done because the platform is overloaded or can't be reached.
	Unavailable
	// Unknown: the operation may have started or may start later.
	Unknown
	// Fenced: a later leader has acted on the machine.
	Fenced
)

// Machines moves machines between pools and starts their maintenance. Report reports that a wave is running or
// completed.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, machine, pool string, fence int64) Result
	Maintain(ctx context.Context, machine string, wave, fence int64) Result
	Report(ctx context.Context, wave int64, completed bool) error
}

// MoveOptions bound the operations on machines.
type MoveOptions struct {
	// TakeoverPause is how long a new leader starts no operations on machines on which a former leader may just have
	// acted, so that two leaders don't act on the same machine in turn.
	TakeoverPause time.Duration
	// Move and Maintenance are how long a machine is down for each operation.
	Move, Maintenance time.Duration
	// Shift are the options of the move planner.
	Shift shift.Options
}

const (
	// moveInterval is the time between two passes of the mover.
	moveInterval = 200 * time.Millisecond
	// moveMaxAge is how old the store's last confirmation of leadership may be when a machine is moved or maintained.
	// Until then nobody has taken over from a leader whom the store does not refuse and that designates no successors.
	moveMaxAge = elect.DefaultTakeoverTimeout - 100*time.Millisecond
	// listIntervalLeases, listIntervalBusy and listIntervalIdle are the times between two lists of machines: while tasks
	// wait for the leases of workers that may have ended, while operations are in progress, also those of a former leader,
	// or no machine is known, and otherwise.
	listIntervalLeases = 300 * time.Millisecond
	listIntervalBusy   = 600 * time.Millisecond
	listIntervalIdle   = 2 * time.Second
	// maxDrainTime is how long a move waits until its machine is empty, unless the platform may be carrying it out.
	maxDrainTime = 4 * time.Second
	// busyBackoff is the pause after a Busy, Unavailable or Unknown result before the machine is tried again.
	busyBackoff = time.Second
)

// operation is a move or the maintenance of one machine.
type operation struct {
	// worker is the machine's worker, "" without one.
	machine, worker string
	// pool is the target pool of a move, wave the number of a maintenance wave; one of them is set.
	pool string
	wave int64
	// plannedAt is when the operation was decided.
	plannedAt time.Time
	// sentAt is the time of the last call, calling is set until it returns; startedAt is when a call succeeded, zero
	// before that.
	sentAt, startedAt time.Time
	calling           bool
	// retryAt is the end of the pause after a call with the result Unavailable or Unknown.
	retryAt time.Time
	// slow means that the machine ran long-running tasks when its maintenance was decided.
	slow bool
	// uncertain means that the result of a call was Unknown, so that the platform may still carry it out.
	uncertain bool
	// settled means that a list requested after the successful call has shown that the worker has ended.
	settled bool
	// declinedAt is when the machine was Busy after such a result, maybe because of the operation itself; zero before that.
	declinedAt time.Time
}

// mover decides on the operations on machines and calls the platform for them. The session's mu guards its fields; all
// methods but pass, refreshMachines, call and expectedDowntime must be called with mu held.
type mover struct {
	session  *session
	planner  *shift.Planner
	machines map[string]Machine // by name
	// listedAt is when the current list was requested, triedAt when the last one was, which may have failed.
	listedAt, triedAt time.Time
	listing           bool
	operations        map[string]*operation // by machine
	// refusedPools are the pools that a machine can't move to, by machine.
	refusedPools map[string][]string
	// busyUntil is the end of the pause after a Busy result for each machine.
	busyUntil map[string]time.Time
	waves     map[int64]*waveState
	// overdue are the machines whose maintenance has not begun in a wave that is late.
	overdue map[string]bool
	// startedAt is when this leader began its work after the load, reportedAt when the pools were last logged.
	startedAt, reportedAt time.Time
	// scarce means that at least one pool has less CPU than it needs.
	scarce bool
}

func (s *session) moveLoop(ctx context.Context) {
	if s.service.Machines == nil {
		return
	}
	m := &mover{session: s, planner: s.newPlanner(), machines: map[string]Machine{},
		operations: map[string]*operation{}, refusedPools: map[string][]string{}, busyUntil: map[string]time.Time{},
		waves: s.waves, overdue: map[string]bool{}, startedAt: time.Now()}
	pace.Every(ctx, moveInterval, nil, m.pass)
}

// mayCallMachines reports whether machines may be moved or maintained now: no other instance can have taken over. Others take
// over sooner from a leader whom the store refuses. A designated successor may have taken over; it knows the operation by its
// record and waits for successionPause.
func (s *session) mayCallMachines() bool {
	l := s.leadership
	return !l.Lost() && l.SinceConfirmed() <= moveMaxAge && l.StoreRefusedFor() == 0
}

func (m *mover) pass(ctx context.Context) {
	s := m.session
	m.refreshMachines(ctx)
	if !s.mayCallMachines() {
		return
	}
	current, _ := s.service.Rules.Current()
	if current.Config == nil {
		return
	}
	s.mu.Lock()
	if s.steppingDown || s.handingOver || len(m.machines) == 0 {
		s.mu.Unlock()
		return
	}
	m.finishOperations()
	m.planMoves(current)
	m.planWaves(ctx, current)
	due := m.dueOperations()
	m.reportArrivals()
	s.mu.Unlock()
	for _, op := range due {
		go m.call(ctx, op)
	}
}

// refreshMachines lists the machines in the background when the interval has passed and no list is being requested.
func (m *mover) refreshMachines(ctx context.Context) {
	interval := listIntervalIdle
	m.session.mu.Lock()
	if len(m.operations) > 0 || len(m.machines) == 0 || m.awaitsFormerCalls() {
		interval = listIntervalBusy
	}
	if m.session.scheduler.AwaitsLeaseExpiry() {
		interval = listIntervalLeases
	}
	due := !m.listing && time.Since(m.triedAt) >= interval
	m.listing = m.listing || due
	m.session.mu.Unlock()
	if !due {
		return
	}
	go func() {
		sent := time.Now()
		list, err := m.session.service.Machines.List(ctx)
		m.session.mu.Lock()
		defer m.session.mu.Unlock()
		m.listing = false
		m.triedAt = sent
		if err != nil {
			if ctx.Err() == nil {
				m.session.log.Warn("leader: listing machines failed, keeping the previous list", zap.Error(err))
			}
			return
		}
		// A failed list leaves listedAt unchanged: the previous list may be from before an operation and must not count as
		// evidence that the machine is back.
		m.listedAt = sent
		m.machines = map[string]Machine{}
		running := make(map[string]engine.Machine, len(list))
		capacities := make(map[string]work.Need, len(list))
		for _, x := range list {
			m.machines[x.Name] = x
			running[x.Name] = engine.Machine{Worker: work.WorkerID(x.Worker), Up: x.Up}
			capacities[x.Name] = x.Capacity
		}
		m.session.scheduler.SetMachineCapacities(capacities)
		m.session.scheduler.Reconcile(running, sent)
		m.session.wakeLoops()
	}()
}

// finishOperations removes the operations whose machine is back, in a list requested after the expected downtime, or is
// no longer listed, and those that a Busy machine does not carry out, by a list requested after that result.
func (m *mover) finishOperations() {
	for name, op := range m.operations {
		x, ok := m.machines[name]
		if ok && !op.startedAt.IsZero() && !op.settled && m.listedAt.After(op.startedAt) && !m.settle(op, x) {
			continue
		}
		back := ok && x.Up && !op.startedAt.IsZero() && !m.listedAt.Before(op.startedAt.Add(m.expectedDowntime(op)))
		missing := !ok && !op.calling && m.listedAt.After(op.startedAt)
		declined := ok && !op.declinedAt.IsZero() && !m.listedAt.Before(op.declinedAt) && (x.Up || op.wave != 0 && !x.InMaintenance)
		if back || missing || declined {
			m.releaseOperation(op)
		}
	}
}

// settle handles the first list that was requested after an operation was confirmed, and reports whether it has taken the worker
// away: the platform confirms an operation also if it took place before this worker started.
func (m *mover) settle(op *operation, x Machine) bool {
	id := work.WorkerID(op.worker)
	if op.worker != "" && x.Up && x.Worker == op.worker {
		m.session.log.Info("leader: operation had taken place before this worker started, using it again",
			zap.String("machine", op.machine), zap.String("worker", op.worker), zap.Int64("wave", op.wave))
		m.releaseOperation(op)
		return false
	}
	op.settled = true
	if op.worker != "" {
		m.session.scheduler.MarkWorkerEnded(id)
	}
	return true
}

func (m *mover) expectedDowntime(op *operation) time.Duration {
	if op.wave != 0 {
		return m.session.service.Moves.Maintenance
	}
	return m.session.service.Moves.Move
}

// dueOperations cordons the workers of the operations that have not started, except those with a call in progress, in
// the pause after one or waiting for a list. Of these operations it marks those whose machine is empty as calling, closes their workers and
// returns them.
func (m *mover) dueOperations() []*operation {
	var due []*operation
	now := time.Now()
	for _, op := range m.operations {
		if op.calling || !op.startedAt.IsZero() || !op.declinedAt.IsZero() || now.Before(op.retryAt) {
			continue
		}
		id := work.WorkerID(op.worker)
		if x, ok := m.machines[op.machine]; ok && x.Up && x.Worker != op.worker && !m.listedAt.Before(op.sentAt) {
			m.session.log.Info("leader: machine has another worker since its operation was decided", zap.String("machine", op.machine),
				zap.String("worker", op.worker), zap.String("now", x.Worker), zap.Bool("uncertain", op.uncertain))
			m.releaseOperation(op)
			continue
		}
		if m.session.scheduler.RunsBeside(id, op.machine) > 0 {
			continue
		}
		if op.worker != "" {
			m.session.scheduler.Cordon(id, true)
			if r := m.session.scheduler.Usage(id); r.Runs > 0 || !r.Known && !r.Ended {
				if op.pool != "" && op.sentAt.IsZero() && now.Sub(op.plannedAt) > maxDrainTime {
					m.session.log.Info("leader: machine did not become empty, not moving it", zap.String("machine", op.machine),
						zap.String("to", op.pool), zap.Int("runs", r.Runs))
					m.busyUntil[op.machine] = now.Add(maxDrainTime)
					m.releaseOperation(op)
				}
				continue
			}
		}
		if !m.mayGoDown(op) {
			continue
		}
		op.calling, op.sentAt = true, now
		m.close(op, true)
		due = append(due, op)
	}
	return due
}

// close keeps new tasks away from the machine of an operation, whichever worker runs there, or lifts that.
func (m *mover) close(op *operation, closed bool) {
	m.session.scheduler.CloseMachine(op.machine, closed)
	if op.worker != "" {
		m.session.scheduler.Close(work.WorkerID(op.worker), closed)
	}
}

// call calls the platform for an operation and handles the result.
func (m *mover) call(ctx context.Context, op *operation) {
	s := m.session
	var result Result
	recorded := s.recordOperation(ctx, op.machine)
	s.mu.Lock()
	leaving := s.steppingDown || s.handingOver || !recorded
	if !leaving {
		s.machineCalls++
	}
	s.mu.Unlock()
	if leaving || !s.mayCallMachines() {
		// The process may have been paused since the decision, and another may lead by now.
		result = Unavailable
	} else if op.wave != 0 {
		result = s.service.Machines.Maintain(ctx, op.machine, op.wave, s.leadership.FencingToken())
	} else {
		result = s.service.Machines.Move(ctx, op.machine, op.pool, s.leadership.FencingToken())
	}
	s.log.Info("leader: machine operation attempted", zap.String("machine", op.machine), zap.String("pool", op.pool),
		zap.Int64("wave", op.wave), zap.Int("result", int(result)), zap.Duration("took", time.Since(op.sentAt)))
	s.mu.Lock()
	if !leaving {
		s.machineCalls--
	}
	m.handleResult(op, result)
	s.mu.Unlock()
}

// handleResult handles the result of a call.
func (m *mover) handleResult(op *operation, result Result) {
	s := m.session
	op.calling = false
	switch result {
	case Started:
		// The next worker of the machine may get tasks, this one may not until a list shows whether it has ended.
		op.startedAt = time.Now()
		s.scheduler.CloseMachine(op.machine, false)
		if w := m.waves[op.wave]; w != nil && op.wave != 0 {
			w.MarkStarted(op.machine)
			s.storeProgress(op.wave)
		}
	case Busy:
		m.busyUntil[op.machine] = time.Now().Add(busyBackoff)
		if op.uncertain {
			// An earlier call may have made the machine busy, so that it counts as down until a list shows otherwise.
			op.declinedAt = time.Now()
			return
		}
		m.releaseOperation(op)
	case Unavailable, Unknown:
		// The call is repeated. The worker stays cordoned meanwhile, and also closed while the platform may still carry a
		// call out.
		op.retryAt = time.Now().Add(busyBackoff)
		op.uncertain = op.uncertain || result == Unknown
		m.close(op, op.uncertain)
	case Fenced:
		s.handleFenced("the machine service")
		m.releaseOperation(op)
	case Refused:
		if op.pool != "" {
			m.refusedPools[op.machine] = append(m.refusedPools[op.machine], op.pool)
		}
		if w := m.waves[op.wave]; w != nil && op.wave != 0 {
			w.MarkRefused(op.machine)
		}
		m.releaseOperation(op)
	}
}

// releaseOperation removes an operation and opens its worker to tasks again.
func (m *mover) releaseOperation(op *operation) {
	delete(m.operations, op.machine)
	m.close(op, false)
	if op.worker != "" {
		m.session.scheduler.Cordon(work.WorkerID(op.worker), false)
	}
}

// planMoves decides which machines move to which pool, by the demand of the pools, and cordons their workers.
func (m *mover) planMoves(current rules.Rules) {
	s := m.session
	spare := ""
	for name, p := range current.Config.Pools {
		if p.Spare {
			spare = name
		}
	}
	var demands []shift.Demand
	for _, d := range s.scheduler.Demands() {
		if d.Pool != spare {
			demands = append(demands, shift.Demand(d))
		}
	}
	slices.SortFunc(demands, func(a, b shift.Demand) int { return cmp.Compare(a.Pool, b.Pool) })
	var machines []shift.Machine
	for _, x := range m.machines {
		if current.EvacuatedZones[x.Zone] {
			continue
		}
		o := shift.Machine{Name: x.Name, Pool: x.Pool, CPU: m.availableCPU(x), Off: x.Pool == spare,
			RefusedBy: m.refusedPools[x.Name]}
		if op := m.operations[x.Name]; op != nil {
			if op.pool != "" {
				o.Pool, o.Off = op.pool, op.pool == spare
			} else {
				// It gets no new tasks until its maintenance is finished.
				o.Pool, o.Off = "", false
			}
		} else {
			r := s.scheduler.Usage(work.WorkerID(x.Worker))
			free := x.Up && m.mayOperate(x) && time.Now().After(m.busyUntil[x.Name]) && !r.Leaving && !m.overdue[x.Name]
			o.Empty = free && r.Runs == 0 && (o.Off || r.Known)
			// Tasks that run for longer than expected may never end, so their machines don't count as drainable.
			o.Drainable = free && r.Known && r.LongRunning == 0 && r.RemainingTime > 0
			o.DrainTime = r.RemainingTime
		}
		machines = append(machines, o)
	}
	slices.SortFunc(machines, func(a, b shift.Machine) int { return cmp.Compare(a.Name, b.Name) })
	moves := m.planner.Decide(time.Now(), demands, machines, spare)
	s.keepPools(m.planner.Reports())
	s.observeCycle(m.planner)
	m.logPools(demands)
	m.scarce = slices.ContainsFunc(m.planner.Reports(), func(r shift.Report) bool { return r.RequiredCPU > r.CPU })
	for _, x := range moves {
		worker := m.machines[x.Machine].Worker
		s.log.Info("leader: moving a machine once it is empty", zap.String("machine", x.Machine), zap.String("from", x.From),
			zap.String("to", x.To))
		m.operations[x.Machine] = &operation{machine: x.Machine, worker: worker, pool: x.To, plannedAt: time.Now()}
		s.scheduler.Cordon(work.WorkerID(worker), true)
	}
}

// availableCPU returns the CPU that a machine has for tasks: what its worker reports, or what the machine has if there is
// no such report.
func (m *mover) availableCPU(x Machine) int64 {
	if c, ok := m.session.scheduler.WorkerCapacity(work.WorkerID(x.Worker)); ok && x.Up {
		return c.CPU
	}
	return x.Capacity.CPU
}

// poolLogInterval is the time between two reports on the pools in the log.
const poolLogInterval = time.Second

// logPools logs the demand and the machines of each pool, on which the moves were decided, once per poolLogInterval.
func (m *mover) logPools(demands []shift.Demand) {
	if time.Since(m.reportedAt) < poolLogInterval {
		return
	}
	m.reportedAt = time.Now()
	for _, r := range m.planner.Reports() {
		i := slices.IndexFunc(demands, func(d shift.Demand) bool { return d.Pool == r.Pool })
		m.session.log.Info("leader: demand and machines of a pool", zap.String("pool", r.Pool),
			zap.Int("machines", r.Machines), zap.Int64("cpu", r.CPU), zap.Int64("need", r.RequiredCPU),
			zap.Int64("running", demands[i].Running),
			zap.Int64("waiting", demands[i].Waiting), zap.Int64("lasting", demands[i].LongRunning),
			zap.Bool("bursting", r.Bursting), zap.Int64("predicted", r.Predicted), zap.Int64("inuse", r.InUse))
	}
}
