// Package leader does the work of the leader: it loads the stored state, takes over the workers, sends them commands,
// reads their run lists, stores ended runs before it acknowledges them, and moves and maintains machines.
package leader

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plan/assign"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/serve/relay"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rowlog"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Workers sends commands and renewals to workers, each with the leader's fencing token.
type Workers = relay.Workers

// Authorizer decides which workers may run a step; it returns their tickets and how long these are valid.
type Authorizer interface {
	Authorize(ctx context.Context, r engine.TicketRequest) ([]engine.Ticket, time.Duration, error)
}

// Fleet watches the platform's list of workers until the context ends: it passes on the list when it has changed, and the
// times at which the list last passed on held all reports of the workers.
type Fleet interface {
	Watch(ctx context.Context, changed func([]work.Worker), current func(at time.Time))
}

// Rules returns the operators' current rules and a channel that is closed when they change.
type Rules interface {
	Current() (rules.Rules, <-chan struct{})
}

// Options are the dependencies and settings of a Service.
type Options struct {
	Store table.Table
	// Clock is the store's.
	Clock   table.Clock
	Workers Workers
	Fleet   Fleet
	Rules   Rules
	// Machines may be nil; then no machine is moved or maintained.
	Machines Machines
	// Authorizer may be nil if no queue needs tickets.
	Authorizer Authorizer
	Scheduler  engine.Options
	Moves      MoveOptions
	// Succession turns on the designation of successors; see docs/design/succession.md.
	Succession bool
	// Loaded is called with Succession when this process, which leads in a term, has loaded the stored state; it may be nil.
	Loaded func(term int64)
	// StartsRecorded reports whether the store holds every start that the leader of a term has sent and a worker may still
	// execute, as far as that leader has told this process; nil means that it can't tell.
	StartsRecorded func(term int64) bool
	// Zone is this instance's availability zone.
	Zone string
	// Contention turns on the refusal of jobs that their pool can't hold; see docs/design/contention.md.
	Contention bool
	// ElectionDelay returns the delay with which this instance stands for election now; nil means 0.
	ElectionDelay func() time.Duration
	// OfferLeadership offers leadership to the peer at an address, with this instance's election delay, and reports
	// whether the peer accepts; nil means that none does.
	OfferLeadership func(ctx context.Context, address string, delay time.Duration) (bool, error)
	// AskForTerm returns the latest term that the peer at an address knows; nil means that none can be asked.
	AskForTerm func(ctx context.Context, address string) (int64, error)
	// OpenRelay opens a stream to the relay at an address; nil means that no instance relays orders. Assign are the
	// options of the choice of relays.
	OpenRelay func(ctx context.Context, address string) (relay.OrderStream, error)
	Assign    assign.Options
	// Cores returns the processor time that this process used in the last second, in cores; nil if that is not known.
	Cores func() float64
	// Delay returns how late this process begins what is due, on average; nil means that it never is late.
	Delay func() time.Duration
	// Registry may be nil; then the Service creates one.
	Registry metrics.Registry
	Log      *zap.Logger
}

// Service is this process's candidate for leadership; while it leads, it answers requests about jobs.
type Service struct {
	Options

	mu sync.Mutex
	// session is nil while this process doesn't lead or still loads the stored state.
	session *session
	// leadership is nil while this process doesn't lead; unlike session it is set during the load.
	leadership *elect.Leadership
	// endedTerm is the last term in which this process led and no longer does.
	endedTerm int64
	// unrecordedSince is since when, in the present or last term, a worker may execute a start that the store does not hold; zero
	// if none may.
	unrecordedSince time.Time
	// heartbeats holds the last heartbeat of each peer, by the peer's name.
	heartbeats map[string]heartbeat
	designated designation
	// epoch is the origin of the stamps in replies to heartbeats.
	epoch        time.Time
	orderMetrics orderMetrics
	// executor executes the orders for workers without a relay.
	executor   *relay.Executor
	gauges     gauges
	startDelay metrics.Histogram
	contention contentionMetrics
}

// New returns a Service that doesn't lead yet.
func New(o Options) *Service {
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	return &Service{Options: o, heartbeats: map[string]heartbeat{}, epoch: time.Now(),
		orderMetrics: newOrderMetrics(o.Registry), executor: relay.NewExecutor(o.Workers, o.Log), gauges: newGauges(o.Registry),
		startDelay: histogram(o.Registry, "start_delay_ms"), contention: newContentionMetrics(o.Registry)}
}

// ErrNotLeader means that this process is not the leader and has done nothing.
var ErrNotLeader = errors.New("leader: this process is not the leader")

// Lead implements elect.Candidate.
func (s *Service) Lead(ctx context.Context, l *elect.Leadership) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	recorded := s.formerStartsRecorded(l.Term())
	s.setSession(nil, l)
	defer s.setSession(nil, nil)
	items, err := s.load(ctx, l)
	if err != nil {
		s.Log.Warn("leader: loading the stored state failed, giving up this term", zap.Error(err))
		s.releaseAfterFailure(l)
		return
	}
	items, rows, damaged := rowlog.Restore(items, l.Term())
	for _, err := range damaged {
		s.Log.Error("leader: stored log row can't be read; skipping it", zap.Error(err))
	}
	ss := newSession(s, l, rows)
	ss.scheduler.Restore(items)
	if !recorded {
		ss.scheduler.AssumeUnrecordedStarts()
	}
	ss.restoreWaves(items)
	ss.operations.restore(items)
	ss.cycles.restore(items)
	ss.applyRules()
	s.Log.Info("leader: stored state loaded", zap.Int("rows", len(items)), zap.Int("logRows", rows.Rows()), zap.Duration("took", time.Since(began)),
		zap.Int64("term", l.Term()), zap.Bool("startsRecorded", recorded))
	s.setUnrecorded(!ss.scheduler.RecordsAllStarts())
	s.setSession(ss, l)
	if s.Succession && s.Loaded != nil {
		s.Loaded(l.Term())
	}
	ss.run(ctx)
}

func (s *Service) setSession(ss *session, l *elect.Leadership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l == nil && s.leadership != nil {
		s.endedTerm = s.leadership.Term()
	}
	s.session, s.leadership = ss, l
}

// current returns the session, or nil if this process is not the leader or still loads the stored state.
func (s *Service) current() *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.session
}

// IsLeader reports whether this process leads and has loaded the stored state.
func (s *Service) IsLeader() bool { return s.current() != nil }

// HasAuthority reports whether this process leads and may still send commands.
func (s *Service) HasAuthority() bool {
	ss := s.current()
	return ss != nil && ss.hasAuthority()
}

// Submit accepts a job and returns when it is stored, or with peer.Unknown if the context or the session ends first.
func (s *Service) Submit(ctx context.Context, q peer.SubmitRequest) peer.JobReply {
	ss := s.current()
	if ss == nil {
		return peer.JobReply{Result: peer.NotLeader}
	}
	if q.Access != nil {
		customer, result := s.checkAccess(*q.Access)
		if result != peer.Accepted {
			// The instance that asks again for a job that waits for the store was told that it is kept.
			var admitted bool
			if customer, admitted = ss.admittedAs(q.Job.ID, *q.Access); !admitted {
				return peer.JobReply{Result: result}
			}
		}
		q.Job.Queue, q.Job.Customer = q.Access.Queue, customer
	}
	return guard(ss, peer.JobReply{Result: peer.Unknown}, func() peer.JobReply {
		return ss.answer(kindSubmit, func() peer.JobReply { return ss.submit(ctx, q) })
	})
}

// Job returns the state of a job, or cancels it and returns when that is stored, or with peer.Unknown if the context or
// the session ends first.
func (s *Service) Job(ctx context.Context, q peer.JobRequest) peer.JobReply {
	ss := s.current()
	if ss == nil {
		return peer.JobReply{Result: peer.NotLeader}
	}
	if q.Access != nil {
		if _, result := s.checkAccess(*q.Access); result != peer.Accepted {
			return peer.JobReply{Result: result}
		}
	}
	return guard(ss, peer.JobReply{Result: peer.Unknown}, func() peer.JobReply {
		if q.Cancel {
			return ss.answer(kindCancel, func() peer.JobReply { return ss.cancel(ctx, q) })
		}
		return ss.answer(kindState, func() peer.JobReply { return ss.state(ctx, q) })
	})
}

// checkAccess returns the customer of a caller's key, "" on an open queue, or why the request is not accepted. A request whose
// path belongs to another queue now is left to an instance that knows that queue.
func (s *Service) checkAccess(a peer.Access) (customer string, result peer.Result) {
	current, _ := s.Rules.Current()
	if current.Config == nil || current.Config.Version < a.Version {
		return "", peer.NotLeader
	}
	queue, ok := current.Config.Route(a.Host, a.Path)
	if !ok {
		return "", peer.NoQueue
	}
	if queue.Name != a.Queue {
		return "", peer.NotLeader
	}
	if queue.Open {
		return "", peer.Accepted
	}
	if customer, ok = current.Config.CustomerOf(a.Key); !ok {
		return "", peer.WrongKey
	}
	return customer, peer.Accepted
}

// Waiting returns the number of stored, unfinished jobs of a queue that have started no task.
func (s *Service) Waiting(q peer.WaitingRequest) peer.WaitingReply {
	ss := s.current()
	if ss == nil || !ss.hasAuthority() {
		return peer.WaitingReply{Result: peer.NotLeader}
	}
	if q.Access != nil {
		if _, result := s.checkAccess(*q.Access); result != peer.Accepted {
			return peer.WaitingReply{Result: result}
		}
	}
	return guard(ss, peer.WaitingReply{Result: peer.NotLeader}, func() peer.WaitingReply {
		ss.mu.Lock()
		defer ss.mu.Unlock()
		return peer.WaitingReply{Result: peer.Accepted, Count: ss.scheduler.Waiting(q.Queue)}
	})
}

// guard answers a request, and ends the term if that panics: the scheduler may hold half of a change. A request whose
// answer is unknown is sent again, to the next leader.
func guard[A any](s *session, onPanic A, answer func() A) (a A) {
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("leader: answering a request panicked, leadership ends", zap.Any("panic", p), zap.Stack("stack"))
			s.leadership.MarkFailed()
			s.leadership.MarkLost()
			wake(s.commitWake)
			a = onPanic
		}
	}()
	return answer()
}

// sampleSize is the number of values in the sample of a histogram.
const sampleSize = 1024

func histogram(r metrics.Registry, name string) metrics.Histogram {
	h := r.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	})
	return h.(metrics.Histogram)
}

// observe adds the milliseconds since a point in time to a histogram.
func (s *Service) observe(name string, since time.Time) {
	histogram(s.Registry, name).Update(time.Since(since).Milliseconds())
}

// StepDown hands over or releases leadership if this process leads and has loaded the stored state.
func (s *Service) StepDown(ctx context.Context) {
	if ss := s.current(); ss != nil {
		ss.offer(ctx, leavingElectionDelay)
		ss.stepDown(ctx)
	}
}
