package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

const (
	minFlushInterval = 10 * time.Millisecond
	flushPerRelay    = 2 * time.Millisecond
	// ordersInterval is the longest time between two batches, which extend the relay's authority.
	ordersInterval = 100 * time.Millisecond
	// openTimeout bounds the opening of a stream, reopenBackoff is the pause after a failure.
	openTimeout   = time.Second
	reopenBackoff = 250 * time.Millisecond
	// orderTimeout is how long after its sending an order without an outcome counts as lost, beyond the time that a
	// renewal waits.
	orderTimeout = 4 * time.Second
	// retireTimeout is how long a relay that is no longer one has to report the outcomes of its orders.
	retireTimeout = 2 * time.Second
)

// link is the leader's connection to one relay.
type link struct {
	pool          *Pool
	name, address string
	wake          chan struct{}
	// retired is closed when the relay gets no more orders.
	retired chan struct{}

	mu       sync.Mutex
	up       bool
	failedAt time.Time
	// queue are the orders to send, inFlight those sent, by number.
	queue    []numberedOrder
	inFlight map[uint64]Order
	lastID   uint64
	// stamp is that of the last report.
	stamp time.Duration
}

func newLink(p *Pool, name, address string) *link {
	return &link{pool: p, name: name, address: address, wake: make(chan struct{}, 1), retired: make(chan struct{}),
		inFlight: map[uint64]Order{}}
}

func (l *link) retire() { close(l.retired) }

func (l *link) state() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{Address: l.address, Up: l.up, FailedAt: l.failedAt, Outstanding: len(l.queue) + len(l.inFlight)}
}

func (l *link) send(orders []Order) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		return false
	}
	for _, o := range orders {
		l.lastID++
		l.queue = append(l.queue, numberedOrder{id: l.lastID, Order: o})
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// run keeps a stream to the relay until the context ends or the relay is retired.
func (l *link) run(session context.Context) {
	ctx, cancel := context.WithCancel(session)
	defer cancel()
	go func() {
		select {
		case <-l.retired:
			l.finish(ctx)
			cancel()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		err := l.serve(ctx)
		l.fail(session, err)
		select {
		case <-time.After(reopenBackoff):
		case <-ctx.Done():
		}
	}
}

// finish takes no more orders and waits for the outcomes of the others, at most retireTimeout.
func (l *link) finish(ctx context.Context) {
	l.mu.Lock()
	l.up = false
	l.mu.Unlock()
	for end := time.Now().Add(retireTimeout); time.Now().Before(end) && ctx.Err() == nil && l.state().Outstanding > 0; {
		select {
		case <-time.After(checkInterval):
		case <-ctx.Done():
		}
	}
}

// fail records that the stream has ended. Orders that were sent are lost, those that were not are withheld; at the end of
// the leader's session nobody needs to know.
func (l *link) fail(session context.Context, err error) {
	l.mu.Lock()
	wasUp := l.up
	l.up = false
	l.failedAt = time.Now()
	results := make([]Result, 0, len(l.inFlight)+len(l.queue))
	for _, o := range l.inFlight {
		results = append(results, Result{Order: o, Outcome: engine.RelayLost})
	}
	for _, o := range l.queue {
		results = append(results, Result{Order: o.Order, Outcome: engine.Withheld})
	}
	l.pool.lost.Inc(int64(len(l.inFlight)))
	clear(l.inFlight)
	l.queue = nil
	l.mu.Unlock()
	if session.Err() != nil {
		return
	}
	if wasUp {
		l.pool.options.Log.Warn("relay: connection to a relay failed; its workers get orders on other ways",
			zap.String("relay", l.name), zap.Int("lost", len(results)), zap.Error(err))
	}
	if len(results) > 0 {
		l.pool.options.Deliver(results)
	}
}

// serve opens a stream and uses it until it fails, and returns why.
func (l *link) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := l.open(ctx)
	if err != nil {
		return err
	}
	var loops sync.WaitGroup
	defer loops.Wait()
	var reports heartbeat
	loops.Go(func() { cancel(l.receive(stream, &reports)) })
	loops.Go(func() { cancel(reports.await(ctx)) })
	loops.Go(func() { l.expireOrders(ctx) })
	loops.Go(func() {
		// Closing makes a blocked Send and Receive return.
		<-ctx.Done()
		_ = stream.Close()
	})
	for ctx.Err() == nil {
		batch, more := l.nextBatch()
		if err := stream.Send(batch); err != nil {
			cancel(err)
			break
		}
		if !more && !pause(ctx, l.wake, l.pool.flushInterval(), ordersInterval) {
			break
		}
	}
	return context.Cause(ctx)
}

// open opens a stream within openTimeout; the stream ends with the context.
func (l *link) open(ctx context.Context) (OrderStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(openTimeout, func() { cancel(errSilent) })
	stream, err := l.pool.options.Open(ctx, l.address)
	if !timer.Stop() && err == nil {
		_ = stream.Close()
		return nil, errSilent
	}
	if err != nil {
		cancel(err)
	}
	l.mu.Lock()
	l.stamp = 0
	l.mu.Unlock()
	return stream, err
}

// nextBatch returns the next message: the queued orders that share the first one's fencing token, and whether there are more.
func (l *link) nextBatch() (peer.RelayOrders, bool) {
	o := &l.pool.options
	authority := max(o.Authority(), 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := batch{message: peer.RelayOrders{Term: o.Term, Fence: o.Fence, Echo: l.stamp, Authority: authority}}
	if len(l.queue) > 0 {
		b.message.Fence = l.queue[0].Fence()
	}
	l.queue = slices.DeleteFunc(l.queue, func(q numberedOrder) bool {
		if q.Fence() != b.message.Fence {
			return false
		}
		b.add(q.id, q.Order)
		l.inFlight[q.id] = q.Order
		return true
	})
	return b.message, len(l.queue) > 0
}

// receive handles reports until the stream ends.
func (l *link) receive(stream OrderStream, reports *heartbeat) error {
	for {
		m, err := stream.Receive()
		if err != nil {
			return err
		}
		reports.beat()
		if results := l.handle(m); len(results) > 0 {
			l.pool.options.Deliver(results)
		}
	}
}

func (l *link) handle(m peer.RelayReport) []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stamp = m.Stamp
	if !l.up && !l.isRetired() {
		l.up = true
		l.pool.options.Log.Info("relay: relay takes orders", zap.String("relay", l.name), zap.String("address", l.address))
	}
	results := make([]Result, 0, len(m.Outcomes)+len(m.Renewals))
	take := func(id uint64) (Order, bool) {
		o, ok := l.inFlight[id]
		delete(l.inFlight, id)
		return o, ok
	}
	for _, x := range m.Outcomes {
		if o, ok := take(x.ID); ok {
			results = append(results, Result{Order: o, Outcome: outcomeOf(x.Outcome)})
		}
	}
	for _, x := range m.Renewals {
		if o, ok := take(x.ID); ok {
			results = append(results, Result{Order: o, Outcome: engine.Applied, Reply: replyOf(x)})
		}
	}
	return results
}

func (l *link) isRetired() bool {
	select {
	case <-l.retired:
		return true
	default:
		return false
	}
}

// expireOrders gives up orders without an outcome until the context ends.
func (l *link) expireOrders(ctx context.Context) {
	pace.After(ctx, checkInterval, func(context.Context) {
		if results := l.expired(); len(results) > 0 {
			l.pool.options.Deliver(results)
		}
	})
}

// expired removes the orders whose outcome is overdue and returns them as lost.
func (l *link) expired() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	var results []Result
	for id, o := range l.inFlight {
		if time.Since(o.Sent) > orderTimeout+o.Renewal.Wait {
			delete(l.inFlight, id)
			results = append(results, Result{Order: o, Outcome: engine.RelayLost})
		}
	}
	l.pool.lost.Inc(int64(len(results)))
	return results
}
