// Package leader does the work of the seat: it loads what is stored, takes the workers over, gives orders, follows
// their lists and stores what has ended before it is acknowledged.
package leader

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Workers carries orders and looks to workers; the fencing token goes with each.
type Workers interface {
	Execute(ctx context.Context, o engine.Command, fence int64) engine.Outcome
	Renew(ctx context.Context, o engine.Renewal, fence int64) (work.RenewalReply, engine.Outcome)
}

// Authorizer knows which workers may run a step; it returns their tickets and how long these hold.
type Authorizer interface {
	Authorize(ctx context.Context, a engine.TicketRequest) ([]engine.Ticket, time.Duration, error)
}

// Fleet follows the platform's list of workers until the context ends.
type Fleet interface {
	Watch(ctx context.Context, changed func([]work.Worker))
}

// Rules gives the operators' rules.
type Rules interface {
	Current() (rules.Rules, <-chan struct{})
}

// Options are what a Service is made of.
type Options struct {
	Store    table.Table
	Workers  Workers
	Fleet    Fleet
	Rules    Rules
	Machines Machines
	// Authorizer may be nil where no queue needs tickets.
	Authorizer Authorizer
	Scheduler  engine.Options
	Moves      MoveOptions
	Registry   metrics.Registry
	Log        *zap.Logger
}

// Service is one process's readiness to hold the seat.
type Service struct {
	Options

	mu      sync.Mutex
	session *session
	// tenure is that of the session, or of the load before it.
	tenure *elect.Leadership
	// beats are the peers that were heard, and when.
	beats map[string]time.Time
}

// New returns a service.
func New(o Options) *Service {
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	return &Service{Options: o, beats: map[string]time.Time{}}
}

// ErrNotLeader means that this process doesn't hold the seat and has done nothing.
var ErrNotLeader = errors.New("leader: the seat is elsewhere")

// loadRetry is the pause after a failed read of what is stored.
const loadRetry = 200 * time.Millisecond

// Lead implements elect.Candidate.
func (m *Service) Lead(ctx context.Context, t *elect.Leadership) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	m.sit(nil, t)
	defer m.sit(nil, nil)
	items, err := m.load(ctx, t)
	if err != nil {
		m.Log.Warn("leader: stored state not loaded", zap.Error(err))
		return
	}
	s := newSession(m, t)
	s.board.Restore(items)
	s.loadWaves(items)
	s.configure()
	m.Log.Info("leader: stored state loaded", zap.Int("rows", len(items)), zap.Duration("took", time.Since(began)),
		zap.Int64("term", t.Term()))
	m.sit(s, t)
	s.run(ctx)
}

func (m *Service) sit(s *session, t *elect.Leadership) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.session, m.tenure = s, t
}

// load reads everything that is stored, and confirms the seat meanwhile.
func (m *Service) load(ctx context.Context, t *elect.Leadership) ([]table.Item, error) {
	var items []table.Item
	for _, prefix := range []string{engine.PrefixJob, engine.PrefixRun, engine.PrefixWorker, prefixWave} {
		after := ""
		for {
			page, err := m.Store.Scan(ctx, prefix, after, scanPage)
			switch {
			case ctx.Err() != nil:
				return nil, ctx.Err()
			case errors.Is(err, table.ErrUnavailable):
				m.Log.Warn("leader: store not read", zap.String("prefix", prefix), zap.Error(err))
				time.Sleep(loadRetry)
				if t.SinceConfirmed() > loadPatience {
					return nil, err
				}
				continue
			case err != nil:
				return nil, err
			}
			items = append(items, page...)
			if len(page) == 0 {
				break
			}
			after = page[len(page)-1].Key
		}
		if err := t.Commit(ctx, nil); err != nil {
			return nil, err
		}
	}
	return items, nil
}

const (
	// scanPage is the largest number of rows that the store returns at once.
	scanPage = 500
	// loadPatience is how long the load may be without the store before the seat is left to others.
	loadPatience = 5 * time.Second
)

// now returns the session if this process holds the seat.
func (m *Service) now() *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.session
}

// IsLeader reports whether this process holds the seat.
func (m *Service) IsLeader() bool { return m.now() != nil }

// Submit takes a job in and returns when it is stored.
func (m *Service) Submit(ctx context.Context, q peer.SubmitRequest) peer.JobReply {
	s := m.now()
	if s == nil {
		return peer.JobReply{Result: peer.NotLeader}
	}
	return s.submit(ctx, q)
}

// Job returns the state of a job, or cancels it and returns when that is stored.
func (m *Service) Job(ctx context.Context, q peer.JobRequest) peer.JobReply {
	s := m.now()
	if s == nil {
		return peer.JobReply{Result: peer.NotLeader}
	}
	if q.Cancel {
		return s.cancel(ctx, q.ID)
	}
	return s.state(q.ID)
}

// Waiting counts the jobs of a queue of which no task has started.
func (m *Service) Waiting(queue string) peer.WaitingReply {
	s := m.now()
	if s == nil || !s.authority() {
		return peer.WaitingReply{Result: peer.NotLeader}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return peer.WaitingReply{Result: peer.Accepted, Count: s.board.Waiting(queue)}
}

const (
	// quorumAge is how long a beat of a peer confirms the seat.
	quorumAge = 2 * time.Second
	// memberAge is how long a peer counts after its last beat.
	memberAge = time.Minute
)

// HandleHeartbeat takes in that a peer sees this process and answers whether it holds the seat.
func (m *Service) HandleHeartbeat(q peer.HeartbeatRequest) peer.HeartbeatReply {
	m.mu.Lock()
	m.beats[q.From] = time.Now()
	t := m.tenure
	m.mu.Unlock()
	if t == nil {
		return peer.HeartbeatReply{}
	}
	if q.Term > t.Term() {
		m.Log.Warn("leader: a peer knows a later term", zap.Int64("term", q.Term), zap.String("peer", q.From))
		t.MarkLost()
		return peer.HeartbeatReply{}
	}
	return peer.HeartbeatReply{IsLeader: !t.Lost(), Term: t.Term(), SinceConfirmed: t.SinceConfirmed(), StoreRefusedFor: t.StoreRefusedFor()}
}

// heardAge is how long a beat shows that a peer knows the holder: beats come every 400 ms, and one may be lost.
const heardAge = 1200 * time.Millisecond

// HeardRecently reports whether a beat of a peer has come just now.
func (m *Service) HeardRecently(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.beats[name]
	return ok && time.Since(at) <= heardAge
}

// sampleSize is the number of values that a histogram keeps.
const sampleSize = 1024

// observe adds the milliseconds since a moment to a histogram.
func (m *Service) observe(name string, since time.Time) {
	h := m.Registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	})
	h.(metrics.Histogram).Update(time.Since(since).Milliseconds())
}

// quorum reports whether most of the peers have been heard just now.
func (m *Service) quorum() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	members, heard := 1, 1
	for name, at := range m.beats {
		switch age := now.Sub(at); {
		case age > memberAge:
			delete(m.beats, name)
		case age <= quorumAge:
			members++
			heard++
		default:
			members++
		}
	}
	return members > 1 && 2*heard > members
}

// StepDown opens the seat for others, if this process holds it.
func (m *Service) StepDown(ctx context.Context) {
	if s := m.now(); s != nil {
		s.leave(ctx)
	}
}
