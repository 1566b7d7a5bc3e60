package elect

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/model/pace"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// PrefixInstance is the key prefix of the rows with the addresses of the instances.
const PrefixInstance = "host/"

const (
	// announceCheckInterval is the time between two checks for announcements that are due.
	announceCheckInterval = 200 * time.Millisecond
	// announceInterval is the time between two announcements to an instance that sends no heartbeat.
	announceInterval = 2 * time.Second
	// maxDoublings bounds how often that time doubles while an instance does not answer. The rows of instances that were
	// removed stay, while the others must get the announcement within seconds of being reachable again.
	maxDoublings = 2
	// announceTimeout bounds one announcement.
	announceTimeout = 500 * time.Millisecond
	// instancesMaxAge is the age from which the list of instances is read again while this one leads.
	instancesMaxAge = 10 * time.Second
	// scanPageSize is the largest number of rows that the store returns in one scan.
	scanPageSize = 500
)

// Announcer announces the leader to the instances that send it no heartbeats, so that instances which the store does
// not serve can forward requests too.
type Announcer struct {
	Store table.Table
	Self  Identity
	// Leader returns the leader record while this process leads.
	Leader func() (LeaderRecord, bool)
	// HeardRecently reports whether an instance has sent a heartbeat recently.
	HeardRecently func(name string) bool
	// AnnounceLeader sends the leader record to the instance at an address, and whether the leader is known to have loaded the
	// stored state.
	AnnounceLeader func(ctx context.Context, address string, r LeaderRecord, ready bool) error
	Log            *zap.Logger

	// instances is the last list that was read, by name, listedAt the time of that read; instances is nil while this
	// process doesn't lead.
	instances map[string]Identity
	listedAt  time.Time
	// announcedAt is the time of the last announcement to each instance, which may have failed.
	announcedAt map[string]time.Time

	mu sync.Mutex
	// failures counts the consecutive failed announcements to each instance.
	failures map[string]int
	// takeover is the announcement of the present term, nil without one.
	takeover *takeover
}

// Run registers this instance and announces the leader while this process leads, until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	a.announcedAt, a.failures = map[string]time.Time{}, map[string]int{}
	var loops sync.WaitGroup
	loops.Go(func() { a.register(ctx) })
	pace.Every(ctx, announceCheckInterval, nil, a.announce)
	loops.Wait()
}

// register stores the address of this instance and retries until that succeeds. An older process of the same name has
// exited, so its row may be overwritten.
func (a *Announcer) register(ctx context.Context) {
	value, err := cbor.Marshal(a.Self)
	if err != nil {
		a.Log.Error("elect: encoding the address failed, instance not registered", zap.Error(err))
		return
	}
	for backoff := minBackoff; ; backoff = min(2*backoff, announceInterval) {
		_, err := a.Store.Commit(ctx, table.Transaction{
			Writes: []table.Write{{Key: PrefixInstance + a.Self.Name, Value: value}},
		})
		if err == nil {
			return
		}
		a.Log.Debug("elect: storing the address failed, retrying", zap.Error(err))
		if sleepJittered(ctx, backoff) != nil {
			return
		}
	}
}

func (a *Announcer) announce(ctx context.Context) {
	record, ok := a.Leader()
	if !ok {
		a.instances = nil
		return
	}
	if a.instances == nil || time.Since(a.listedAt) > instancesMaxAge {
		instances, err := a.listInstances(ctx)
		if err != nil {
			a.Log.Debug("elect: listing the instances failed, keeping the previous list", zap.Error(err))
		} else {
			a.instances, a.listedAt = instances, time.Now()
		}
	}
	ready := a.isLoaded(record.Term)
	var calls sync.WaitGroup
	for name, i := range a.instances {
		if name == a.Self.Name || a.HeardRecently(name) || time.Since(a.announcedAt[name]) < a.interval(name) {
			continue
		}
		a.announcedAt[name] = time.Now()
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			err := a.AnnounceLeader(ctx, i.Address, record, ready)
			a.mu.Lock()
			defer a.mu.Unlock()
			if err == nil {
				a.failures[name] = 0
				return
			}
			a.failures[name]++
			a.Log.Debug("elect: announcing the leader failed", zap.String("instance", name), zap.Error(err))
		})
	}
	calls.Wait()
}

// interval returns the time between two announcements to an instance, which grows with its consecutive failures.
func (a *Announcer) interval(name string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return announceInterval << min(a.failures[name], maxDoublings)
}

func (a *Announcer) listInstances(ctx context.Context) (map[string]Identity, error) {
	instances := map[string]Identity{}
	after := ""
	for {
		items, err := a.Store.Scan(ctx, PrefixInstance, after, scanPageSize)
		if err != nil {
			return nil, err
		}
		for _, x := range items {
			after = x.Key
			var i Identity
			err := cbor.Unmarshal(x.Value, &i)
			if err == nil {
				err = i.Validate()
			}
			if err != nil {
				a.Log.Error("elect: stored address of an instance is invalid, ignoring it", zap.String("key", x.Key),
					zap.Error(err))
				continue
			}
			instances[i.Name] = i
		}
		if len(items) < scanPageSize {
			return instances, nil
		}
	}
}
