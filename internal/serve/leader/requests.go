package leader

import (
	"fmt"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// requestKind is a kind of callers' requests that the leader answers.
type requestKind string

const (
	kindSubmit requestKind = "submit"
	kindCancel requestKind = "cancel"
	kindState  requestKind = "state"
)

// requestLog counts callers' requests for the log, by kind and result, so that more requests than the leader can answer, a
// store that confirms them too late and requests that are repeated can be told apart. It is safe for concurrent use.
type requestLog struct {
	mu sync.Mutex
	// counts are the answers since the last report, repeated the submissions of jobs that were known.
	counts   map[requestKind]map[peer.Result]int
	repeated int
	// waiting are the requests that wait for the store now, longest is the longest wait that ended since the last report.
	waiting map[requestKind]int
	longest map[requestKind]time.Duration
}

func newRequestLog() *requestLog {
	l := &requestLog{waiting: map[requestKind]int{}}
	l.reset()
	return l
}

// reset forgets what the last report held; mu must be held.
func (l *requestLog) reset() {
	l.counts, l.repeated, l.longest = map[requestKind]map[peer.Result]int{}, 0, map[requestKind]time.Duration{}
}

// began records that a request arrived.
func (l *requestLog) began(k requestKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[k]++
}

// ended records the answer to a request that has waited for a time.
func (l *requestLog) ended(k requestKind, result peer.Result, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting[k]--
	if l.counts[k] == nil {
		l.counts[k] = map[peer.Result]int{}
	}
	l.counts[k][result]++
	l.longest[k] = max(l.longest[k], wait)
}

// again records the submission of a known job.
func (l *requestLog) again() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeated++
}

// report logs the answers since the last report and the requests that wait.
func (l *requestLog) report(log *zap.Logger) {
	l.mu.Lock()
	defer l.mu.Unlock()
	submits, cancels := l.counts[kindSubmit], l.counts[kindCancel]
	log.Info("leader: requests", zap.Int("accepted", submits[peer.Accepted]), zap.Int("unconfirmed", submits[peer.Unknown]),
		zap.Int("refused", total(submits)-submits[peer.Accepted]-submits[peer.Unknown]), zap.Int("repeated", l.repeated),
		zap.Int("awaiting", l.waiting[kindSubmit]), zap.Duration("longest", l.longest[kindSubmit]),
		zap.Int("cancelled", cancels[peer.Accepted]), zap.Int("cancelsUnconfirmed", cancels[peer.Unknown]),
		zap.Int("cancelsAwaiting", l.waiting[kindCancel]), zap.Duration("longestCancel", l.longest[kindCancel]),
		zap.Int("states", total(l.counts[kindState])))
	l.reset()
}

func total(counts map[peer.Result]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// answer answers a request of a kind and records the answer in the log and the metrics.
func (s *session) answer(k requestKind, f func() peer.JobReply) peer.JobReply {
	began := time.Now()
	s.requests.began(k)
	reply := f()
	wait := time.Since(began)
	s.requests.ended(k, reply.Result, wait)
	r := s.service.Registry
	metrics.GetOrRegisterCounter(fmt.Sprintf("leader_requests{kind=%q,result=%q}", string(k), string(reply.Result)), r).Inc(1)
	if k != kindState {
		histogram(r, "leader_"+string(k)+"_ms").Update(wait.Milliseconds())
	}
	return reply
}
