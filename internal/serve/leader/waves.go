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
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
)

// prefixWave is that of the rows that keep which machines of a wave have had their maintenance.
const prefixWave = "wave/"

// waveState is the progress of one wave.
type waveState struct {
	*waves.Tracker
	// Began is when the wave was first seen, in milliseconds since 1970.
	Began     int64 `json:"began"`
	Completed bool  `json:"completed"`
	reporting bool
	reported  bool
}

// store keeps which machines of a wave have had their maintenance.
func (m *mover) store(ctx context.Context, wave int64) {
	m.session.mu.Lock()
	value, err := json.Marshal(m.waves[wave])
	m.session.mu.Unlock()
	if err == nil {
		err = m.session.tenure.Commit(ctx, []table.Write{{Key: prefixWave + strconv.FormatInt(wave, 10), Value: value}})
	}
	if err != nil && ctx.Err() == nil {
		m.session.log.Warn("leader: progress of a wave not stored", zap.Int64("wave", wave), zap.Error(err))
	}
}

// loadWaves takes in what a former holder stored of the waves.
func (s *session) loadWaves(items []table.Item) {
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
			s.log.Error("leader: progress of a wave can't be read", zap.String("key", i.Key), zap.Error(err))
			continue
		}
		s.waves[n] = w
	}
}

// planWaves begins the maintenance of machines, within the cap of each wave.
func (m *mover) planWaves(ctx context.Context, now rules.Rules) {
	for number, w := range now.Waves {
		state, ok := m.waves[number]
		if !ok {
			state = &waveState{Tracker: waves.NewTracker(), Began: time.Now().UnixMilli()}
			m.waves[number] = state
		}
		if state.Completed {
			continue
		}
		m.planWave(ctx, w, state)
	}
}

func (m *mover) planWave(ctx context.Context, w rules.Wave, state *waveState) {
	var left []Machine
	down, elsewhere := 0, 0
	for _, name := range w.Machines {
		x, ok := m.machines[name]
		e := m.errands[name]
		switch state.Phase(waves.MachineStatus{Name: name, Listed: ok, Up: x.Up, InMaintenance: x.InMaintenance, Taken: e != nil && e.wave == w.Number,
			Moving: e != nil && e.wave != w.Number}) {
		case waves.Pending:
			left = append(left, x)
		case waves.OtherWork:
			elsewhere++
		case waves.InProgress:
			down++
		case waves.Finished:
		}
	}
	if len(left)+down+elsewhere == 0 {
		m.report(ctx, w.Number, state, true)
		return
	}
	m.report(ctx, w.Number, state, false)
	slices.SortFunc(left, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(m.effort(a), m.effort(b)), cmp.Compare(a.Name, b.Name))
	})
	progress := waves.Progress{Pending: len(left), InProgress: down, Cap: w.Cap, Within: w.Within, Scarce: m.scarce,
		Elapsed: time.Since(time.UnixMilli(state.Began)), Maintenance: m.session.master.Moves.Maintenance}
	for _, x := range left {
		r := m.session.board.Usage(work.WorkerID(x.Worker))
		if !x.Up || r.Leaving || time.Now().Before(m.busyUntil[x.Name]) || !m.mine(x) || !progress.Allows(r.Runs == 0 && (r.Known || r.Ended)) {
			continue
		}
		progress.Pending--
		progress.InProgress++
		m.session.log.Info("leader: machine is due for maintenance", zap.String("machine", x.Name),
			zap.String("pool", x.Pool), zap.Int64("wave", w.Number), zap.Int("runs", r.Runs), zap.Int("lasting", r.LongRunning),
			zap.Int("left", progress.Pending), zap.Int("down", progress.InProgress), zap.Bool("scarce", m.scarce))
		m.errands[x.Name] = &errand{machine: x.Name, worker: x.Worker, wave: w.Number}
		m.session.board.Cordon(work.WorkerID(x.Worker), true)
	}
}

// quietMargin covers the difference between the clocks of instances and workers.
const quietMargin = 2 * time.Second

// mine reports whether a machine may be acted on: a new holder of the seat leaves those alone that the former one may
// just have acted on, but a machine whose worker has been up for longer is none of them.
func (m *mover) mine(x Machine) bool {
	quiet := m.session.master.Moves.TakeoverPause
	if m.session.tenure.Term() == 1 || time.Since(m.began) >= quiet {
		return true
	}
	born := m.session.board.Incarnation(work.WorkerID(x.Worker))
	return born > 0 && time.Since(time.UnixMilli(born)) >= time.Since(m.began)+quiet+quietMargin
}

// effort orders machines for maintenance: those that are off or empty first, those with lasting tasks last.
func (m *mover) effort(x Machine) int {
	r := m.session.board.Usage(work.WorkerID(x.Worker))
	switch {
	case r.Runs == 0:
		return 0
	case r.LongRunning == 0:
		return 1
	}
	return 2
}

func (m *mover) report(ctx context.Context, number int64, state *waveState, completed bool) {
	if state.reporting || state.Completed || !completed && state.reported {
		return
	}
	state.reporting = true
	go func() {
		err := m.session.master.Machines.Report(ctx, number, completed)
		m.session.mu.Lock()
		state.reporting = false
		if err == nil {
			state.reported = true
			state.Completed = completed
		}
		m.session.mu.Unlock()
		switch {
		case err != nil:
			if ctx.Err() == nil {
				m.session.log.Warn("leader: state of a wave not reported", zap.Int64("wave", number), zap.Error(err))
			}
		case completed:
			m.session.log.Info("leader: wave completed", zap.Int64("wave", number), zap.Int("machines", len(state.Done)))
			m.store(ctx, number)
		}
	}()
}
