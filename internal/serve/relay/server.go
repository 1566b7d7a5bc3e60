package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	// orderTTL is how long after its sending an order may go to its worker. What the leader decided on may have changed
	// after that.
	orderTTL = time.Second
	// reportInterval is the longest time between two reports, flushInterval the least one, so that one holds the outcomes
	// of many orders.
	reportInterval = 100 * time.Millisecond
	flushInterval  = 10 * time.Millisecond
)

// ReportStream is the stream of orders and reports as the relay sees it.
type ReportStream interface {
	Send(peer.RelayReport) error
	Receive() (peer.RelayOrders, error)
	Close() error
}

// Server executes the orders of leaders.
type Server struct {
	executor *Executor
	// knownTerm returns the latest term that this instance knows.
	knownTerm func() int64
	log       *zap.Logger
	epoch     time.Time
	// latestTerm is the latest term of the orders received.
	latestTerm atomic.Int64
	orders     metrics.Counter
	withheld   metrics.Counter
}

// NewServer returns a server that executes orders with a client of the workers.
func NewServer(w Workers, knownTerm func() int64, r metrics.Registry, log *zap.Logger) *Server {
	return &Server{executor: NewExecutor(w, log), knownTerm: knownTerm, log: log, epoch: time.Now(),
		orders: metrics.GetOrRegisterCounter("relay_orders", r), withheld: metrics.GetOrRegisterCounter("relay_withheld", r)}
}

// Register registers the handler of the leader's streams.
func (s *Server) Register(p *peer.Server) {
	peer.HandleStream(p, peer.MethodRelay, func(ctx context.Context, stream *peer.Stream[peer.RelayReport, peer.RelayOrders]) error {
		return s.Serve(ctx, stream)
	})
}

// connection is a leader's stream.
type connection struct {
	server *Server
	// until is until when orders of the last batch may be sent, in nanoseconds since the server's epoch.
	until atomic.Int64
	term  atomic.Int64

	mu     sync.Mutex
	report peer.RelayReport
	wake   chan struct{}
	// heard is set when orders come.
	heard heartbeat
}

// Serve executes the orders of one stream and reports their outcomes until the stream or the context ends. What has not
// been reported then is abandoned.
func (s *Server) Serve(ctx context.Context, stream ReportStream) error {
	ctx, cancel := context.WithCancel(ctx)
	c := &connection{server: s, wake: make(chan struct{}, 1)}
	var loops sync.WaitGroup
	defer loops.Wait()
	defer cancel()
	loops.Go(func() {
		defer cancel()
		c.sendReports(ctx, stream)
	})
	loops.Go(func() {
		// Nothing may reach this process although its reports reach the leader. Closing makes a blocked Receive return.
		_ = c.heard.await(ctx)
		_ = stream.Close()
	})
	began := time.Now()
	for {
		m, err := stream.Receive()
		if err != nil {
			s.log.Info("relay: orders of a leader ended", zap.Int64("term", c.term.Load()),
				zap.Duration("after", time.Since(began)), zap.Error(err))
			return err
		}
		if c.term.Swap(m.Term) == 0 {
			s.log.Info("relay: orders of a leader begin", zap.Int64("term", m.Term), zap.Int64("fence", m.Fence))
		}
		c.heard.beat()
		c.handle(ctx, &loops, m)
	}
}

func (c *connection) handle(ctx context.Context, loops *sync.WaitGroup, m peer.RelayOrders) {
	s := c.server
	for old := s.latestTerm.Load(); m.Term > old && !s.latestTerm.CompareAndSwap(old, m.Term); {
		old = s.latestTerm.Load()
	}
	// The batch was sent after the report whose stamp it echoes.
	until := m.Echo + min(m.Authority, orderTTL)
	c.until.Store(int64(until))
	s.orders.Inc(int64(len(m.Starts) + len(m.Stops) + len(m.Throttles) + len(m.Renewals)))
	for _, o := range ordersOf(m) {
		loops.Go(func() {
			r := c.run(ctx, o, until)
			if ctx.Err() == nil {
				c.add(o.id, r)
			}
		})
	}
}

// mayActUntil reports whether an order may be sent now: its time has not passed, and no later leader is known.
func (c *connection) mayActUntil(until time.Duration) bool {
	term := c.term.Load()
	return time.Since(c.server.epoch) < until && term >= c.server.latestTerm.Load() && term >= c.server.knownTerm()
}

// run executes one order. A renewal is repeated until a run ends, the worker restarts or its wait is over.
func (c *connection) run(ctx context.Context, o numberedOrder, until time.Duration) Result {
	s := c.server
	if !c.mayActUntil(until) {
		s.withheld.Inc(1)
		return Result{Order: o.Order, Outcome: engine.Withheld}
	}
	end := time.Now().Add(o.wait)
	r := s.executor.Run(ctx, o.Order, func() bool { return c.mayActUntil(until) })
	for r.Outcome == engine.Applied && o.wait > 0 && len(r.Reply.Ended) == 0 && time.Now().Before(end) &&
		c.mayActUntil(time.Duration(c.until.Load())) {
		next := s.executor.Run(ctx, o.Order, func() bool { return c.mayActUntil(time.Duration(c.until.Load())) })
		restarted := next.Reply.Incarnation != r.Reply.Incarnation
		r = next
		if restarted {
			break
		}
	}
	return r
}

// add adds a result to the next report.
func (c *connection) add(id uint64, r Result) {
	c.mu.Lock()
	addResult(&c.report, id, r)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// sendReports sends the results so far when there are any, and an empty report otherwise, until the context or the
// stream ends.
func (c *connection) sendReports(ctx context.Context, stream ReportStream) {
	for ctx.Err() == nil {
		c.mu.Lock()
		m := c.report
		c.report = peer.RelayReport{}
		c.mu.Unlock()
		m.Stamp = time.Since(c.server.epoch)
		if err := stream.Send(m); err != nil {
			return
		}
		if !pause(ctx, c.wake, flushInterval, reportInterval) {
			return
		}
	}
}

// pause waits for a wake, for a time between the least and the longest one, and returns false if the context ends.
func pause(ctx context.Context, wake <-chan struct{}, least, longest time.Duration) bool {
	timer := time.NewTimer(least)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	timer.Reset(longest - least)
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}
