package leader

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// commitGap is the least time between two transactions, so that one carries the changes of many events.
	commitGap = 12 * time.Millisecond
	// slowCommit is how long a transaction takes that is worth a line in the log; the store takes about 10 ms.
	slowCommit = 300 * time.Millisecond
	// planGap is the least time between two plans, for the same reason.
	planGap = 4 * time.Millisecond
	// tickEvery is the time between two checks of what has become due.
	tickEvery = 100 * time.Millisecond
	// authorityAge is how long a transaction confirms the right to give orders.
	authorityAge = 2 * time.Second
)

// session is one leadership of this process.
type session struct {
	master *Service
	tenure *elect.Leadership
	log    *zap.Logger

	mu     sync.Mutex
	board  *engine.Scheduler
	looks  map[work.WorkerID]chan struct{}
	stored chan struct{}
	// advising keeps questions to the advisor apart.
	advising sync.Mutex
	leaving  bool
	waves    map[int64]*waveState

	toPlan, toCommit chan struct{}
	ended            chan struct{}
}

func newSession(m *Service, t *elect.Leadership) *session {
	return &session{
		master: m, tenure: t, log: m.Log, board: engine.New(m.Options.Scheduler, t.Term(), m.Log),
		looks: map[work.WorkerID]chan struct{}{}, stored: make(chan struct{}),
		waves: map[int64]*waveState{}, toPlan: make(chan struct{}, 1), toCommit: make(chan struct{}, 1), ended: make(chan struct{}),
	}
}

// run does the work of the seat until the context ends or the seat is lost.
func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(s.ended)
	var loops sync.WaitGroup
	for _, f := range []func(context.Context){s.followRules, s.followFleet, s.planLoop, s.tickLoop, s.moveLoop} {
		loops.Go(func() { f(ctx) })
	}
	s.commitLoop(ctx)
	cancel()
	loops.Wait()
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// changed wakes everything that may have something to do now.
func (s *session) changed() {
	poke(s.toPlan)
	poke(s.toCommit)
}

// authority reports whether this process may still give orders: the store or most peers confirm the seat. A later
// holder waits for as long before it takes what it can't see as ended.
func (s *session) authority() bool {
	return !s.tenure.Lost() && (s.tenure.SinceConfirmed() < authorityAge || s.master.quorum())
}

func (s *session) followRules(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.configure()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// configure puts the newest rules in force and returns a channel that is closed when there are newer ones.
func (s *session) configure() <-chan struct{} {
	now, changed := s.master.Rules.Current()
	if now.Config != nil {
		s.mu.Lock()
		s.board.Configure(now.Config)
		s.board.Evacuate(now.EvacuatedZones)
		s.mu.Unlock()
		s.changed()
	}
	return changed
}

func (s *session) followFleet(ctx context.Context) {
	var looks sync.WaitGroup
	s.startLooks(ctx, &looks)
	s.master.Fleet.Watch(ctx, func(list []work.Worker) {
		s.mu.Lock()
		s.board.SetWorkers(list)
		s.mu.Unlock()
		s.startLooks(ctx, &looks)
		s.changed()
	})
	looks.Wait()
}

// startLooks starts the loop of every worker that has none.
func (s *session) startLooks(ctx context.Context, looks *sync.WaitGroup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.board.TrackedWorkers() {
		if c, ok := s.looks[id]; ok {
			poke(c)
			continue
		}
		wake := make(chan struct{}, 1)
		s.looks[id] = wake
		looks.Go(func() { s.lookLoop(ctx, id, wake) })
	}
}

func (s *session) tickLoop(ctx context.Context) {
	pace.After(ctx, tickEvery, func(context.Context) {
		s.mu.Lock()
		s.board.Tick()
		s.mu.Unlock()
		s.changed()
	})
}

// commitLoop stores changes until the seat is lost; it confirms the seat when there are none.
func (s *session) commitLoop(ctx context.Context) {
	for ctx.Err() == nil && !s.tenure.Lost() {
		if err := s.commit(ctx); err != nil {
			if !errors.Is(err, elect.ErrLost) && ctx.Err() == nil {
				s.log.Error("leader: store rejected a transaction, leaving the seat", zap.Error(err))
			}
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(commitGap):
		}
		s.awaitCommit(ctx)
	}
}

func (s *session) awaitCommit(ctx context.Context) {
	rest := time.NewTimer(max(elect.ConfirmInterval-s.tenure.SinceConfirmed(), 0))
	defer rest.Stop()
	for {
		s.mu.Lock()
		dirty := s.board.Dirty()
		s.mu.Unlock()
		if dirty {
			return
		}
		select {
		case <-s.toCommit:
		case <-rest.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *session) commit(ctx context.Context) error {
	s.mu.Lock()
	batch, err := s.board.Batch()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if len(batch.Writes) > 0 || s.tenure.SinceConfirmed() >= elect.ConfirmInterval {
		began := time.Now()
		if err := s.tenure.Commit(ctx, batch.Writes); err != nil {
			return err
		}
		s.master.observe("store_commit_ms", began)
		if took := time.Since(began); took >= slowCommit {
			s.log.Warn("leader: transaction took long", zap.Duration("took", took), zap.Int("rows", len(batch.Writes)),
				zap.Int("bytes", batch.Size()))
		}
	}
	s.mu.Lock()
	s.board.Committed(batch)
	for _, id := range batch.Acknowledged() {
		if c, ok := s.looks[id]; ok {
			poke(c)
		}
	}
	close(s.stored)
	s.stored = make(chan struct{})
	s.mu.Unlock()
	poke(s.toPlan)
	return nil
}

// await waits until the store holds a version of a job.
func (s *session) await(ctx context.Context, id work.JobID, version int) bool {
	for {
		s.mu.Lock()
		written, stored := s.board.Written(id, version), s.stored
		s.mu.Unlock()
		if written {
			return true
		}
		select {
		case <-stored:
		case <-s.ended:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

func (s *session) submit(ctx context.Context, q peer.SubmitRequest) peer.JobReply {
	j := q.Job
	s.mu.Lock()
	if s.leaving || s.tenure.Lost() {
		s.mu.Unlock()
		return peer.JobReply{Result: peer.NotLeader}
	}
	version, err := s.board.Submit(j)
	behind := s.board.Version() < q.Version
	s.mu.Unlock()
	switch {
	case errors.Is(err, engine.ErrQueue) && behind:
		// The asking instance knows a later config, in which the queue may stand.
		return peer.JobReply{Result: peer.NotLeader}
	case errors.Is(err, engine.ErrQueue):
		return peer.JobReply{Result: peer.NoQueue}
	case err != nil:
		s.log.Info("leader: job refused", zap.String("job", string(j.ID)), zap.Error(err))
		return peer.JobReply{Result: peer.Impossible}
	}
	poke(s.toCommit)
	if !s.await(ctx, j.ID, version) {
		s.log.Warn("leader: job not confirmed by the store in time", zap.String("job", string(j.ID)),
			zap.Duration("age", s.tenure.SinceConfirmed()))
		return peer.JobReply{Result: peer.Unknown}
	}
	poke(s.toPlan)
	s.log.Info("leader: job accepted", zap.String("job", string(j.ID)), zap.String("queue", j.Queue),
		zap.String("customer", j.Customer), zap.Int("steps", len(j.Steps)))
	return peer.JobReply{Result: peer.Accepted}
}

func (s *session) cancel(ctx context.Context, id work.JobID) peer.JobReply {
	s.mu.Lock()
	_, queue, err := s.board.State(id)
	var version int
	if err == nil {
		version, err = s.board.Cancel(id)
	}
	s.mu.Unlock()
	if err != nil {
		return s.absent()
	}
	s.changed()
	if !s.await(ctx, id, version) {
		return peer.JobReply{Result: peer.Unknown}
	}
	return peer.JobReply{Result: peer.Accepted, State: work.Cancelled, Queue: queue}
}

func (s *session) state(id work.JobID) peer.JobReply {
	s.mu.Lock()
	state, queue, err := s.board.State(id)
	s.mu.Unlock()
	if err != nil {
		return s.absent()
	}
	return peer.JobReply{Result: peer.Accepted, State: state, Queue: queue}
}

// absent says that a job is not known, unless a later holder of the seat may know it.
func (s *session) absent() peer.JobReply {
	if s.tenure.Lost() || s.tenure.SinceConfirmed() >= authorityAge {
		return peer.JobReply{Result: peer.NotLeader}
	}
	return peer.JobReply{Result: peer.NotFound}
}

// leave stores what is known and opens the seat.
func (s *session) leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	if err := s.tenure.Release(ctx); err != nil {
		s.log.Warn("leader: seat not opened", zap.Error(err))
	}
	poke(s.toCommit)
}
