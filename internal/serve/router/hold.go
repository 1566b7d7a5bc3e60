package router

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/sched/hold"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// maxHold is how long a request that no leader can have received is held; holdMargin is what is left then of its caller's
	// deadline at least.
	maxHold    = time.Second
	holdMargin = 150 * time.Millisecond
	// maxHeld and maxHeldOutstanding bound the requests that this instance holds, and those of them that it has sent to the
	// leader, so that a leader which has just taken over is not overloaded.
	maxHeld            = 256
	maxHeldOutstanding = 16
	// heldReplyWait is how long the leader may wait for the store before it replies that a request which was held is pending,
	// and the next one is sent. It is longer than a transaction, so that only a slow store costs a second call.
	heldReplyWait = 150 * time.Millisecond
	// gatherTime is how long a leader that is found ready waits for the first held request when calls to former leaders have been
	// ended: their requests join the others, so that all go in the order of their deadlines.
	gatherTime = 5 * time.Millisecond
	// holdSample is the number of values in the sample of hold times.
	holdSample = 1024
)

// holder holds the requests of this instance that reach no leader until one is ready.
type holder struct {
	router *Router
	count  metrics.Counter
	waits  metrics.Histogram

	mu    sync.Mutex
	queue *hold.Queue
	turns map[*hold.Request]*turn
	// ready means that the leader of readyTerm was found ready at readyAt, and that no request has failed to reach it since.
	// Requests are sent to it from opensAt on.
	ready            bool
	readyTerm        int64
	readyAt, opensAt time.Time
	polling          bool
	period           holdPeriod
	// calls are the calls in progress to leaders.
	calls map[*leaderCall]bool
}

// holdPeriod is what happened since requests began to be held; the zero holdPeriod means that none are.
type holdPeriod struct {
	began               time.Time
	held, sent, refused int
	longest             time.Duration
}

// turn is a request that waits to be sent.
type turn struct {
	heldAt time.Time
	// decided is closed when the request may be sent, as granted says, or is refused.
	decided chan struct{}
	granted bool
}

// leaderCall is a call to the leader of a term.
type leaderCall struct {
	term   int64
	cancel context.CancelFunc
}

func newHolder(r *Router, registry metrics.Registry) *holder {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &holder{router: r, turns: map[*hold.Request]*turn{}, calls: map[*leaderCall]bool{},
		queue: hold.NewQueue(hold.Options{MaxHeld: maxHeld, MaxOutstanding: maxHeldOutstanding, MaxWait: maxHold, Margin: holdMargin}),
		count: metrics.GetOrRegisterCounter("held_requests", registry),
		waits: registry.GetOrRegister("hold_ms", func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewUniformSample(holdSample))
		}).(metrics.Histogram)}
}

// isHolding reports whether requests wait for a leader, so that further ones have to queue up.
func (h *holder) isHolding() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.queue.Held() > 0
}

// wait holds a request that began at a time until it is its turn, and reports whether it is; done must be called then. Otherwise
// its time has ended, too many are held or the context has ended.
func (h *holder) wait(ctx context.Context, began time.Time, mayHaveRun bool) bool {
	now := time.Now()
	deadline := began.Add(DefaultRequestTimeout)
	if d, ok := ctx.Deadline(); ok {
		deadline = d.Add(transferMargin)
	}
	r := &hold.Request{Began: began, Deadline: deadline, MayHaveRun: mayHaveRun}
	t := &turn{heldAt: now, decided: make(chan struct{})}
	h.mu.Lock()
	h.turns[r] = t
	if displaced := h.queue.Add(r); displaced != nil {
		h.decide(displaced, false)
	}
	h.advance()
	h.mu.Unlock()
	timer := time.NewTimer(time.Until(r.Expires()))
	defer timer.Stop()
	select {
	case <-t.decided:
	case <-timer.C:
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.turns[r] != nil {
		for _, x := range h.queue.Expired(time.Now()) {
			h.decide(x, false)
		}
	}
	if h.turns[r] != nil {
		h.queue.Remove(r)
		h.decide(r, false)
	}
	h.advance()
	return t.granted
}

// done ends the turn of a request.
func (h *holder) done() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queue.Done()
	h.advance()
}

// decide ends the wait of a request that the queue no longer holds; mu must be held.
func (h *holder) decide(r *hold.Request, granted bool) {
	t := h.turns[r]
	delete(h.turns, r)
	t.granted = granted
	close(t.decided)
	if h.period.began.IsZero() {
		return
	}
	took := time.Since(t.heldAt)
	h.period.longest = max(h.period.longest, took)
	h.waits.Update(took.Milliseconds())
	if granted {
		h.period.sent++
	} else {
		h.period.refused++
	}
}

// advance sends the requests whose turn it is, and begins or ends a hold period; mu must be held.
func (h *holder) advance() {
	if h.ready && !time.Now().Before(h.opensAt) {
		for r := h.queue.Next(); r != nil; r = h.queue.Next() {
			h.decide(r, true)
		}
	}
	log, p := h.router.log, &h.period
	if h.queue.Held() > 0 && p.began.IsZero() {
		p.began = time.Now()
		log.Info("router: holding requests until a leader is ready", zap.Int64("readyTerm", h.readyTerm), zap.Bool("ready", h.ready))
	}
	if n := p.sent + p.refused + h.queue.Held(); n > p.held {
		h.count.Inc(int64(n - p.held))
		p.held = n
	}
	if h.queue.Held() == 0 && !p.began.IsZero() {
		log.Info("router: no requests are held any more", zap.Int("held", p.held), zap.Int("sent", p.sent),
			zap.Int("refused", p.refused), zap.Duration("longest", p.longest), zap.Duration("took", time.Since(p.began)),
			zap.Int64("readyTerm", h.readyTerm))
		*p = holdPeriod{}
	}
	if h.queue.Held() > 0 && !h.ready && !h.polling {
		h.polling = true
		go h.poll()
	}
}

// leaderReady is called when the leader of a term is known to be ready. It lets the held requests go on, and ends the calls to
// former leaders, which may be dead: what they do with a request is not known, and the leader knows what they have stored.
func (h *holder) leaderReady(term int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term < h.readyTerm {
		return
	}
	if !h.ready || term > h.readyTerm {
		h.ready, h.readyTerm, h.readyAt = true, term, time.Now()
	}
	ended := false
	for c := range h.calls {
		if c.term < term {
			c.cancel()
			delete(h.calls, c)
			ended = true
		}
	}
	if ended {
		h.opensAt = time.Now().Add(gatherTime)
		time.AfterFunc(gatherTime, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.advance()
		})
	}
	h.advance()
}

// notReached is called when a request that was sent at a time has not reached the leader of a term, or that was not ready. A
// failure to reach a former leader says nothing about one that was found ready since.
func (h *holder) notReached(term int64, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term >= h.readyTerm || !sent.Before(h.readyAt) {
		h.ready = false
	}
}

// withLeader returns a context for a call to the leader of a term that ends when a later leader is ready.
func (h *holder) withLeader(ctx context.Context, term int64) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c := &leaderCall{term: term, cancel: cancel}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls[c] = true
	return ctx, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.calls, c)
		cancel()
	}
}

// poll sends heartbeats while requests are held, until the leader is ready. All requests share them, so that a leader that
// takes over under load has time to load the stored state. An announcement comes earlier than that.
func (h *holder) poll() {
	for pause := firstReadyPoll; ; pause = readyPollInterval {
		time.Sleep(pause)
		if !h.keepPolling() {
			return
		}
		if !h.router.askReady() {
			h.router.tracker.Wake()
			continue
		}
		h.leaderReady(h.router.repliedTerm())
		if !h.keepPolling() {
			return
		}
	}
}

// keepPolling reports whether requests wait for a leader that is not known to be ready, and ends the polling otherwise. If this
// instance is isolated it refuses all, so that their callers can try another one.
func (h *holder) keepPolling() bool {
	isolated := h.router.Isolated()
	h.mu.Lock()
	defer h.mu.Unlock()
	if isolated {
		for r := range h.turns {
			h.queue.Remove(r)
			h.decide(r, false)
		}
		h.advance()
	}
	h.polling = h.queue.Held() > 0 && !h.ready
	return h.polling
}

// checksAccess reports whether the leader is to check the key of a request.
func checksAccess(q any) bool {
	switch q := q.(type) {
	case peer.SubmitRequest:
		return q.Access != nil
	case peer.JobRequest:
		return q.Access != nil
	case peer.WaitingRequest:
		return q.Access != nil
	}
	return false
}

// LeaderReady is called when this process has acquired leadership in a term and has loaded the stored state.
func (r *Router) LeaderReady(term int64) {
	if h := r.holding(); h != nil {
		h.leaderReady(term)
	}
}

// holding returns what holds requests, nil with Succession off.
func (r *Router) holding() *holder {
	if !r.Succession {
		return nil
	}
	r.holderOnce.Do(func() { r.holder = newHolder(r, r.Registry) })
	return r.holder
}

// retryAfter returns when the caller of a refused request may come back: 1 s or 2 s by a hash of the job's id, so that not all
// callers come back at the same moment.
func retryAfter(q any) time.Duration {
	key := ""
	switch q := q.(type) {
	case peer.SubmitRequest:
		key = string(q.Job.ID)
	case peer.JobRequest:
		key = string(q.ID)
	case peer.WaitingRequest:
		key = q.Queue
	}
	f := fnv.New32a()
	_, _ = f.Write([]byte(key))
	// The low bits of the hash of ids that differ in one digit only depend on that digit.
	return time.Duration(1+f.Sum32()>>16&1) * time.Second
}
