package leader

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plan/waves"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
)

// prefixWave is the key prefix of the rows with the progress of the waves.
const prefixWave = "wave/"

// waveState is the progress of one wave.
type waveState struct {
	*waves.Tracker
	// FirstSeen is when a leader first read the wave in the rules, in Unix milliseconds.
	FirstSeen int64 `json:"began"`
	// Completed means that a report of the wave's completion has succeeded.
	Completed bool `json:"completed"`
	// limit is the wave's cap, down the number of its machines that are or may be in maintenance; drainTime is the moving
	// average of the times that busy machines took to become empty.
	limit, down int
	drainTime   time.Duration
	// reporting means that a report to the platform is in progress, reported that one has succeeded.
	reporting bool
	reported  bool
}

// maxWaveWrites is the largest number of waves whose progress one transaction stores. A transaction of the store has
// room for a few rows beside those of the scheduler.
const maxWaveWrites = 4

// storeProgress has the next transaction store in which machines of a wave the maintenance has started and whether the
// wave is completed; s.mu must be held. Progress shares the transactions of the jobs, since a transaction for each
// machine would delay new jobs.
func (s *session) storeProgress(wave int64) {
	s.changedWaves[wave] = true
	wake(s.commitWake)
}

// takeWaveWrites returns the writes with the changed progress of waves for the next transaction; s.mu must be held.
func (s *session) takeWaveWrites() []table.Write {
	var writes []table.Write
	for wave := range s.changedWaves {
		if len(writes) == maxWaveWrites {
			break
		}
		delete(s.changedWaves, wave)
		value, err := json.Marshal(s.waves[wave])
		if err != nil {
			s.log.Error("leader: encoding the progress of a wave failed, not stored", zap.Int64("wave", wave), zap.Error(err))
			continue
		}
		writes = append(writes, table.Write{Key: prefixWave + strconv.FormatInt(wave, 10), Value: value})
	}
	return writes
}

// restoreWaves restores the progress of the waves that a former leader stored.
func (s *session) restoreWaves(items []table.Item) {
	for _, i := range items {
		if !strings.HasPrefix(i.Key, prefixWave) {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimPrefix(i.Key, prefixWave), 10, 64)
		w := &waveState{Tracker: &waves.Tracker{}}
		if err == nil {
			err = json.Unmarshal(i.Value, w)
		}
		if err != nil || w.Done == nil {
			s.log.Error("leader: stored progress of a wave is invalid, ignoring it", zap.String("key", i.Key), zap.Error(err))
			continue
		}
		s.waves[n] = w
	}
}

// maxCallDelay is how long after a takeover a machine call of the former leader may still take effect: its time-out, and
// what passes between the former leader's last check of its leadership and the call.
const maxCallDelay = 2 * time.Second

// awaitsFormerCalls reports whether calls of the former leader may take effect after the last list of machines.
func (m *mover) awaitsFormerCalls() bool {
	return m.session.leadership.Term() > 1 &&
		m.listedAt.Before(m.startedAt.Add(maxCallDelay+m.session.service.successionPause()))
}

// planWaves selects machines for maintenance within the cap of each wave, cordons their workers and reports the state
// of the waves. A new leader does nothing until it has a list of machines in which the calls of the former one have
// taken effect, since it would not count those machines towards the cap.
func (m *mover) planWaves(ctx context.Context, current rules.Rules) {
	if m.awaitsFormerCalls() {
		return
	}
	var due []work.WorkerID
	clear(m.overdue)
	for number, w := range current.Waves {
		state, ok := m.waves[number]
		if !ok {
			state = &waveState{Tracker: waves.NewTracker(), FirstSeen: time.Now().UnixMilli()}
			m.waves[number] = state
			// The next leader must know since when the wave is due, also if no machine has been taken yet.
			m.session.storeProgress(number)
		}
		if state.Completed {
			continue
		}
		due = append(due, m.planWave(ctx, w, state)...)
	}
	m.session.scheduler.SetDue(due)
}

// planWave does that for one wave and returns the workers of the machines that are still to be maintained.
func (m *mover) planWave(ctx context.Context, w rules.Wave, state *waveState) []work.WorkerID {
	var pending []Machine
	inProgress, draining, slowDraining, otherWork := 0, 0, 0, 0
	var slow []work.WorkerID
	for _, name := range w.Machines {
		x, ok := m.machines[name]
		op := m.operations[name]
		switch state.Phase(waves.MachineStatus{Name: name, Listed: ok, Up: x.Up, InMaintenance: x.InMaintenance,
			Taken: op != nil && op.wave == w.Number, Moving: op != nil && op.wave != w.Number}) {
		case waves.Pending:
			pending = append(pending, x)
		case waves.OtherWork:
			otherWork++
		case waves.InProgress:
			inProgress++
			if op != nil && op.wave == w.Number && op.sentAt.IsZero() {
				draining++
				if m.kind(x) == waves.Slow {
					slowDraining++
					slow = append(slow, work.WorkerID(x.Worker))
				}
			}
		case waves.Finished:
		}
	}
	if len(pending)+inProgress+otherWork == 0 {
		m.reportWave(ctx, w.Number, state, true)
		return nil
	}
	m.reportWave(ctx, w.Number, state, false)
	slices.SortFunc(pending, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(m.kind(a), m.kind(b)), cmp.Compare(a.Name, b.Name))
	})
	slowPending := 0
	for _, x := range pending {
		if m.kind(x) == waves.Slow {
			slowPending++
			slow = append(slow, work.WorkerID(x.Worker))
		}
	}
	state.limit, state.down = w.Cap, inProgress-draining
	progress := waves.Progress{Pending: len(pending), InProgress: inProgress, Draining: draining, Cap: w.Cap,
		Within: w.Within, Scarce: m.scarce, Elapsed: time.Since(time.UnixMilli(state.FirstSeen)),
		Maintenance: m.session.service.Moves.Maintenance, DrainTime: state.drainTime,
		SlowPending: slowPending, SlowDraining: slowDraining, VacateTime: m.session.scheduler.VacateTime(slow)}
	var due []work.WorkerID
	for _, x := range pending {
		m.overdue[x.Name] = progress.Late()
		if x.Worker != "" {
			due = append(due, work.WorkerID(x.Worker))
		}
		r, kind := m.session.scheduler.Usage(work.WorkerID(x.Worker)), m.kind(x)
		if !x.Up || r.Leaving || time.Now().Before(m.busyUntil[x.Name]) || !m.mayOperate(x) || !progress.Allows(kind) {
			continue
		}
		progress = progress.Take(kind)
		m.session.log.Info("leader: starting the maintenance of a machine once it is empty", zap.String("machine", x.Name),
			zap.String("pool", x.Pool), zap.Int64("wave", w.Number), zap.Int("runs", r.Runs), zap.Int("lasting", r.LongRunning),
			zap.Int("left", progress.Pending), zap.Int("down", progress.InProgress), zap.Bool("scarce", m.scarce))
		m.operations[x.Name] = &operation{machine: x.Name, worker: x.Worker, wave: w.Number, plannedAt: time.Now(),
			slow: kind == waves.Slow}
		m.session.scheduler.Cordon(work.WorkerID(x.Worker), true)
	}
	return due
}

// clockSkewMargin bounds the difference between the clocks of instances and workers.
const clockSkewMargin = 2 * time.Second

// mayOperate reports whether operations on a machine may start. During the takeover pause a new leader excludes the
// machines on which a former leader may just have acted: those in the log of operations or, if the former leader did not
// keep it, all but those whose worker is known to have started long enough before the takeover.
func (m *mover) mayOperate(x Machine) bool {
	takeoverPause := m.session.service.Moves.TakeoverPause
	switch {
	case time.Since(m.startedAt) >= takeoverPause+m.session.service.successionPause():
		return true
	case m.session.leadership.FormerLogged():
		return m.session.operations.restedFor(x.Name, takeoverPause+maxCallDelay)
	}
	incarnation := m.session.scheduler.Incarnation(work.WorkerID(x.Worker))
	return incarnation > 0 &&
		time.Since(time.UnixMilli(incarnation)) >= time.Since(m.startedAt)+takeoverPause+clockSkewMargin
}

// successionPause returns by how much later a former leader may start an operation after the takeover of a designated
// successor than after one by time-out: it does so until moveMaxAge after its last confirmed transaction.
func (s *Service) successionPause() time.Duration {
	if !s.Succession {
		return 0
	}
	return elect.DefaultTakeoverTimeout - elect.LeastTakeoverTime(true)
}

// kind returns what runs on a machine. What is not known counts as busy.
func (m *mover) kind(x Machine) waves.Kind {
	r := m.session.scheduler.Usage(work.WorkerID(x.Worker))
	switch {
	case r.Runs == 0 && (r.Known || r.Ended):
		return waves.Empty
	case r.LongRunning > 0:
		return waves.Slow
	}
	return waves.Busy
}

// drainGain is the weight of a new drain time in the moving average.
const drainGain = 1.0 / 8

// mayGoDown reports whether an operation on an empty machine may start within the cap of its wave, and counts the machine
// as down if so.
func (m *mover) mayGoDown(op *operation) bool {
	state := m.waves[op.wave]
	if op.wave == 0 || state == nil || !op.sentAt.IsZero() {
		return true
	}
	if state.down >= state.limit {
		return false
	}
	state.down++
	if d := time.Since(op.plannedAt); d > moveInterval && !op.slow {
		state.drainTime = cmp.Or(state.drainTime, waves.DefaultDrainTime)
		state.drainTime += time.Duration(drainGain * float64(d-state.drainTime))
	}
	return true
}

// reportWave reports in the background that a wave is running or completed; a later pass repeats a failed report.
func (m *mover) reportWave(ctx context.Context, number int64, state *waveState, completed bool) {
	if state.reporting || state.Completed || !completed && state.reported {
		return
	}
	state.reporting = true
	go func() {
		err := m.session.service.Machines.Report(ctx, number, completed)
		m.session.mu.Lock()
		state.reporting = false
		if err == nil {
			state.reported = true
			state.Completed = completed
		}
		if state.Completed {
			m.session.storeProgress(number)
		}
		machines := len(state.Done)
		m.session.mu.Unlock()
		switch {
		case err != nil:
			if ctx.Err() == nil {
				m.session.log.Warn("leader: reporting the state of a wave failed, retrying", zap.Int64("wave", number),
					zap.Error(err))
			}
		case completed:
			m.session.log.Info("leader: wave completed", zap.Int64("wave", number), zap.Int("machines", machines))
		}
	}()
}
