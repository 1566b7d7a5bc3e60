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
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
)

// Machine is one machine as the platform lists it.
type Machine struct {
	Name, Pool, Zone string
	// Up machines are neither moving nor under maintenance nor down.
	Up bool
	// InMaintenance machines are under maintenance.
	InMaintenance bool
	Worker        string
	Capacity      work.Need
}

// Result is what became of a call about a machine.
type Result int

// The results.
const (
	// Started: the machine is on its way, or was before.
	Started Result = iota
	// Busy: the machine can't be taken now.
	Busy
	// Refused: the call can't succeed.
	Refused
	// Unavailable: nothing was done because the platform is overloaded or away.
	Unavailable
	// Unknown: the call may have been carried out or may be later.
	Unknown
	// Fenced: a later holder of the seat has acted on the machine.
	Fenced
)

// Machines moves machines between pools and starts their maintenance.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	Move(ctx context.Context, machine, pool string, fence int64) Result
	Maintain(ctx context.Context, machine string, wave, fence int64) Result
	Report(ctx context.Context, wave int64, completed bool) error
}

// MoveOptions bound what is done to machines.
type MoveOptions struct {
	// TakeoverPause is how long a new holder of the seat leaves machines alone, so that holders don't take turns at
	// one.
	TakeoverPause time.Duration
	// Move and Maintenance are how long a machine is away.
	Move, Maintenance time.Duration
	// Shift are the weights of moves.
	Shift shift.Options
}

const (
	// moveEvery is the time between two decisions about machines.
	moveEvery = 200 * time.Millisecond
	// moveAge is how long the store may not have confirmed the seat while machines are moved: a later holder must find
	// the records of the workers that are gone deleted, or waits for their leases.
	moveAge = time.Second
	// listUnsure, listBusy and listIdle are the times between two lists of machines: while tasks wait for workers that
	// may have ended, while machines are on their way, and otherwise.
	listUnsure = 300 * time.Millisecond
	listBusy   = 600 * time.Millisecond
	listIdle   = 2 * time.Second
	// busyPause is how long a machine that can't be taken is left alone.
	busyPause = time.Second
)

// errand is something that is done to a machine.
type errand struct {
	machine, worker string
	// pool is the target of a move, wave that of maintenance; one of them is set.
	pool string
	wave int64
	// sent is when the last call began; calling while it lasts. begun is when it took effect.
	sent, begun time.Time
	calling     bool
	pauseUntil  time.Time
}

// mover does what is to be done to machines.
type mover struct {
	session  *session
	planner  *shift.Planner
	machines map[string]Machine
	// listed is when the list was asked for, tried when the last one was.
	listed, tried time.Time
	listing       bool
	errands       map[string]*errand
	barred        map[string][]string
	// busyUntil is until when machines that could not be taken are left alone.
	busyUntil       map[string]time.Time
	waves           map[int64]*waveState
	began, reported time.Time
	// scarce means that pools have fewer machines than they need.
	scarce bool
}

func (s *session) moveLoop(ctx context.Context) {
	if s.master.Machines == nil {
		return
	}
	m := &mover{session: s, planner: shift.New(s.master.Moves.Shift), machines: map[string]Machine{},
		errands: map[string]*errand{}, barred: map[string][]string{}, busyUntil: map[string]time.Time{}, waves: s.waves, began: time.Now()}
	pace.Every(ctx, moveEvery, nil, m.pass)
}

func (m *mover) pass(ctx context.Context) {
	s := m.session
	m.refresh(ctx)
	if s.tenure.Lost() || s.tenure.SinceConfirmed() > moveAge {
		return
	}
	now, _ := s.master.Rules.Current()
	if now.Config == nil {
		return
	}
	s.mu.Lock()
	if s.leaving || len(m.machines) == 0 {
		s.mu.Unlock()
		return
	}
	m.settle()
	m.planMoves(now)
	m.planWaves(ctx, now)
	due := m.due()
	s.mu.Unlock()
	for _, e := range due {
		go m.call(ctx, e)
	}
}

// refresh lists the machines in the background when the list is old.
func (m *mover) refresh(ctx context.Context) {
	every := listIdle
	m.session.mu.Lock()
	if len(m.errands) > 0 || len(m.machines) == 0 {
		every = listBusy
	}
	if m.session.board.AwaitsLeaseExpiry() {
		every = listUnsure
	}
	due := !m.listing && time.Since(m.tried) >= every
	m.listing = m.listing || due
	m.session.mu.Unlock()
	if !due {
		return
	}
	go func() {
		sent := time.Now()
		list, err := m.session.master.Machines.List(ctx)
		m.session.mu.Lock()
		defer m.session.mu.Unlock()
		m.listing = false
		m.tried = sent
		if err != nil {
			if ctx.Err() == nil {
				m.session.log.Warn("leader: machines not listed", zap.Error(err))
			}
			return
		}
		// A list that failed leaves the old one with its time: it must not show machines as back that were not away yet.
		m.listed = sent
		m.machines = map[string]Machine{}
		running := make(map[string]work.WorkerID, len(list))
		for _, x := range list {
			m.machines[x.Name] = x
			running[x.Name] = work.WorkerID(x.Worker)
		}
		m.session.board.Reconcile(running, sent)
		m.session.changed()
	}()
}

// settle ends the errands whose machine is back or gone for good.
func (m *mover) settle() {
	for name, e := range m.errands {
		x, ok := m.machines[name]
		back := ok && x.Up && !e.begun.IsZero() && !m.listed.Before(e.begun.Add(m.away(e)))
		gone := !ok && !e.calling && m.listed.After(e.begun)
		if back || gone {
			delete(m.errands, name)
		}
	}
}

func (m *mover) away(e *errand) time.Duration {
	if e.wave != 0 {
		return m.session.master.Moves.Maintenance
	}
	return m.session.master.Moves.Move
}

// due returns the errands whose machine is empty, so that their call may be made now.
func (m *mover) due() []*errand {
	var due []*errand
	now := time.Now()
	for _, e := range m.errands {
		if e.calling || !e.begun.IsZero() || now.Before(e.pauseUntil) {
			continue
		}
		if e.worker != "" {
			id := work.WorkerID(e.worker)
			m.session.board.Cordon(id, true)
			if r := m.session.board.Usage(id); r.Runs > 0 || !r.Known && !r.Ended {
				continue
			}
		}
		e.calling, e.sent = true, now
		due = append(due, e)
	}
	return due
}

// call makes the call of an errand.
func (m *mover) call(ctx context.Context, e *errand) {
	s := m.session
	var result Result
	if s.tenure.Lost() || s.tenure.SinceConfirmed() > moveAge {
		// The process was paused since the decision, and another may hold the seat by now.
		result = Unavailable
	} else if e.wave != 0 {
		result = s.master.Machines.Maintain(ctx, e.machine, e.wave, s.tenure.FencingToken())
	} else {
		result = s.master.Machines.Move(ctx, e.machine, e.pool, s.tenure.FencingToken())
	}
	s.log.Info("leader: machine", zap.String("machine", e.machine), zap.String("pool", e.pool), zap.Int64("wave", e.wave),
		zap.Int("result", int(result)), zap.Duration("took", time.Since(e.sent)))
	s.mu.Lock()
	e.calling = false
	switch result {
	case Started:
		e.begun = time.Now()
		if e.worker != "" {
			s.board.MarkWorkerEnded(work.WorkerID(e.worker))
		}
		if w := m.waves[e.wave]; w != nil && e.wave != 0 {
			w.Begin(e.machine)
		}
	case Busy:
		m.busyUntil[e.machine] = time.Now().Add(busyPause)
		m.drop(e)
	case Unavailable, Unknown:
		// A call that may be carried out later is repeated; the machine gets nothing meanwhile.
		e.pauseUntil = time.Now().Add(busyPause)
	case Refused, Fenced:
		if e.pool != "" {
			m.barred[e.machine] = append(m.barred[e.machine], e.pool)
		}
		if w := m.waves[e.wave]; w != nil && e.wave != 0 {
			w.Refuse(e.machine)
		}
		m.drop(e)
	}
	s.mu.Unlock()
	if result == Started && e.wave != 0 {
		m.store(ctx, e.wave)
	}
}

func (m *mover) drop(e *errand) {
	delete(m.errands, e.machine)
	if e.worker != "" {
		m.session.board.Cordon(work.WorkerID(e.worker), false)
	}
}

// planMoves lets the machines follow the demand.
func (m *mover) planMoves(now rules.Rules) {
	s := m.session
	spare := ""
	for name, p := range now.Config.Pools {
		if p.Spare {
			spare = name
		}
	}
	var loads []shift.Demand
	for _, l := range s.board.Demands() {
		if l.Pool != spare {
			loads = append(loads, shift.Demand(l))
		}
	}
	slices.SortFunc(loads, func(a, b shift.Demand) int { return cmp.Compare(a.Pool, b.Pool) })
	var machines []shift.Machine
	for _, x := range m.machines {
		if now.EvacuatedZones[x.Zone] {
			continue
		}
		o := shift.Machine{Name: x.Name, Pool: x.Pool, CPU: x.Capacity.CPU, Off: x.Pool == spare, RefusedBy: m.barred[x.Name]}
		if e := m.errands[x.Name]; e != nil {
			if e.pool != "" {
				o.Pool, o.Off = e.pool, e.pool == spare
			} else {
				// It takes nothing new until its maintenance is over.
				o.Pool, o.Off = "", false
			}
		} else {
			r := s.board.Usage(work.WorkerID(x.Worker))
			o.Empty = x.Up && m.mine(x) && time.Now().After(m.busyUntil[x.Name]) && r.Runs == 0 && !r.Leaving && (o.Off || r.Known)
		}
		machines = append(machines, o)
	}
	slices.SortFunc(machines, func(a, b shift.Machine) int { return cmp.Compare(a.Name, b.Name) })
	moves := m.planner.Decide(time.Now(), loads, machines, spare)
	m.logPools(loads)
	m.scarce = slices.ContainsFunc(m.planner.Reports(), func(r shift.Report) bool { return r.Need > r.CPU })
	for _, x := range moves {
		worker := m.machines[x.Machine].Worker
		s.log.Info("leader: machine is to move", zap.String("machine", x.Machine), zap.String("from", x.From),
			zap.String("to", x.To))
		m.errands[x.Machine] = &errand{machine: x.Machine, worker: worker, pool: x.To}
		s.board.Cordon(work.WorkerID(worker), true)
	}
}

// logEvery is the time between two lines about the state of the pools.
const logEvery = time.Second

// logPools logs what the moves were decided on.
func (m *mover) logPools(loads []shift.Demand) {
	if time.Since(m.reported) < logEvery {
		return
	}
	m.reported = time.Now()
	for _, r := range m.planner.Reports() {
		i := slices.IndexFunc(loads, func(l shift.Demand) bool { return l.Pool == r.Pool })
		m.session.log.Info("leader: pool", zap.String("pool", r.Pool), zap.Int("machines", r.Machines), zap.Int64("cpu", r.CPU),
			zap.Int64("need", r.Need), zap.Int64("running", loads[i].Running), zap.Int64("waiting", loads[i].Waiting),
			zap.Int64("lasting", loads[i].LongRunning), zap.Bool("bursting", r.Bursting))
	}
}
