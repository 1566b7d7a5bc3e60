package leader

import (
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/fair"
	"github.com/yuccahaven/yuccahaven/internal/sched/intake"
	"github.com/yuccahaven/yuccahaven/internal/state/elect"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// minRetryAfter is the least time after which a caller whose job was not taken may come back.
	minRetryAfter = time.Second
	// rateWindow is the time over which starts are counted, in checks of timers.
	rateWindow = 10
)

// startRate counts the starts of the last rateWindow checks of timers.
type startRate struct {
	counts [rateWindow]int
	next   int
}

// add counts starts in the present check.
func (r *startRate) add(n int) { r.counts[r.next] += n }

// advance begins the next check.
func (r *startRate) advance() {
	r.next = (r.next + 1) % rateWindow
	r.counts[r.next] = 0
}

// perSecond returns the number of starts in the last second.
func (r *startRate) perSecond() float64 {
	n := 0
	for _, c := range r.counts {
		n += c
	}
	return float64(n) / (rateWindow * tickInterval.Seconds())
}

// observeLoad tells the intake what this process has to do and how fast it does it; s.mu must be held.
func (s *session) observeLoad() {
	l := intake.Load{StartRate: s.startRate.perSecond(), Backlog: s.scheduler.Backlog(), Commit: time.Duration(s.commitTook.Load())}
	if s.service.Delay != nil {
		l.Delay = s.service.Delay()
	}
	s.intake.Observe(l)
	s.scheduler.SetShort(s.intake.Short())
	s.startRate.advance()
	if s.service.Contention {
		s.service.contention.pools.Update(int64(s.scheduler.ContendedPools()))
	}
}

// refusal is the decision about a new job by the leader's processor time or, if that allows it, by the capacity of its pool.
type refusal struct {
	intake intake.Verdict
	pool   fair.Verdict
}

func (r refusal) refused() bool { return r.intake.Refused || r.pool.Refused }

// decide decides about a new job; s.mu must be held. An instance of an earlier build sets no deadline and does not know the
// refusal. A leader that the store has not confirmed lately, or turns away, refuses none: its successor may have accepted the
// job.
func (s *session) decide(q peer.SubmitRequest) (r refusal) {
	age := s.leadership.SinceConfirmed()
	turnedAway := s.leadership.StoreRefusedFor() > 0 && age >= elect.LeastTakeoverTime(s.service.Succession)
	if q.Deadline <= 0 || age >= authorityMaxAge || turnedAway {
		return refusal{}
	}
	n := s.scheduler.Describe(q.Job)
	r.intake = s.intake.Decide(intake.Job{Customer: q.Job.Customer, Tasks: n.Tasks, Allowed: n.Allowed, Deadline: q.Deadline})
	if !r.intake.Refused && s.service.Contention {
		r.pool = s.scheduler.Admit(q.Job)
	}
	return r
}

// refuse logs and counts the refusal of a job and returns the answer to its caller.
func (s *session) refuse(j work.Job, r refusal) peer.JobReply {
	if r.intake.Refused {
		s.log.Info("leader: job refused, overloaded", zap.String("job", string(j.ID)), zap.String("customer", j.Customer),
			zap.String("reason", r.intake.Reason), zap.Duration("retry", r.intake.RetryAfter))
		return peer.JobReply{Result: peer.Overloaded, RetryAfter: r.intake.RetryAfter}
	}
	v := r.pool
	s.service.contention.refused(j.Customer)
	s.log.Info("leader: job refused, pool is contended", zap.String("job", string(j.ID)), zap.String("customer", j.Customer),
		zap.String("queue", j.Queue), zap.String("pool", v.Pool), zap.String("reason", v.Reason), zap.Duration("end", v.End),
		zap.Duration("objective", v.Bound), zap.Float64("share", v.Share), zap.String("scarce", v.Scarce),
		zap.Float64("others", v.Others), zap.Duration("retry", v.RetryAfter))
	return peer.JobReply{Result: peer.Overloaded, RetryAfter: v.RetryAfter}
}
