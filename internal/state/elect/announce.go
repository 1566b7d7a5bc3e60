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

// PrefixHost is that of the rows that hold the addresses of the instances.
const PrefixHost = "host/"

const (
	// announceCheck is the time between two checks whether there is something to announce.
	announceCheck = 200 * time.Millisecond
	// announceEvery is the time between two announcements to an instance that has not been heard.
	announceEvery = 2 * time.Second
	// maxDoublings bounds how often that time doubles while an instance does not answer: the rows of instances that are
	// gone for good stay, and the others must hear within seconds when they are reached again.
	maxDoublings = 2
	// announceTimeout bounds one announcement.
	announceTimeout = 500 * time.Millisecond
	// hostsAge is how old the list of instances may be while this one holds the seat.
	hostsAge = 10 * time.Second
	// hostsPage is the largest number of rows that the store returns at once.
	hostsPage = 500
)

// Announcer tells the instances that don't beat who holds the seat, so that those which the store does not serve can
// pass requests on too.
type Announcer struct {
	Store table.Table
	Self  Identity
	// Leader returns the seat while this process holds it.
	Leader func() (LeaderRecord, bool)
	// HeardRecently reports whether a beat of an instance has come just now.
	HeardRecently func(name string) bool
	// AnnounceLeader brings the seat to the instance at an address.
	AnnounceLeader func(ctx context.Context, address string, s LeaderRecord) error
	Log            *zap.Logger

	hosts  map[string]Identity
	listed time.Time
	told   map[string]time.Time

	mu sync.Mutex
	// failed counts the announcements to an instance that failed in a row.
	failed map[string]int
}

// Run registers this instance and makes announcements until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	a.told, a.failed = map[string]time.Time{}, map[string]int{}
	var loops sync.WaitGroup
	loops.Go(func() { a.register(ctx) })
	pace.Every(ctx, announceCheck, nil, a.announce)
	loops.Wait()
}

// register stores where this instance is reached. An older process of the same name is gone, so the row may be
// overwritten.
func (a *Announcer) register(ctx context.Context) {
	value, err := cbor.Marshal(a.Self)
	if err != nil {
		a.Log.Error("elect: address not encoded", zap.Error(err))
		return
	}
	for pause := retryPause; ; pause = min(2*pause, announceEvery) {
		_, err := a.Store.Commit(ctx, table.Transaction{Writes: []table.Write{{Key: PrefixHost + a.Self.Name, Value: value}}})
		if err == nil {
			return
		}
		a.Log.Debug("elect: address not stored", zap.Error(err))
		if wait(ctx, pause) != nil {
			return
		}
	}
}

func (a *Announcer) announce(ctx context.Context) {
	s, ok := a.Leader()
	if !ok {
		a.hosts = nil
		return
	}
	if a.hosts == nil || time.Since(a.listed) > hostsAge {
		hosts, err := a.list(ctx)
		if err != nil {
			a.Log.Debug("elect: instances not listed", zap.Error(err))
		} else {
			a.hosts, a.listed = hosts, time.Now()
		}
	}
	var calls sync.WaitGroup
	for name, h := range a.hosts {
		if name == a.Self.Name || a.HeardRecently(name) || time.Since(a.told[name]) < a.pause(name) {
			continue
		}
		a.told[name] = time.Now()
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, announceTimeout)
			defer cancel()
			err := a.AnnounceLeader(ctx, h.Address, s)
			a.mu.Lock()
			defer a.mu.Unlock()
			if err == nil {
				a.failed[name] = 0
				return
			}
			a.failed[name]++
			a.Log.Debug("elect: seat not announced", zap.String("instance", name), zap.Error(err))
		})
	}
	calls.Wait()
}

// pause returns the time between two announcements to an instance.
func (a *Announcer) pause(name string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return announceEvery << min(a.failed[name], maxDoublings)
}

func (a *Announcer) list(ctx context.Context) (map[string]Identity, error) {
	hosts := map[string]Identity{}
	after := ""
	for {
		items, err := a.Store.Scan(ctx, PrefixHost, after, hostsPage)
		if err != nil {
			return nil, err
		}
		for _, i := range items {
			after = i.Key
			var h Identity
			err := cbor.Unmarshal(i.Value, &h)
			if err == nil {
				err = h.Validate()
			}
			if err != nil {
				a.Log.Error("elect: address of an instance can't be read", zap.String("key", i.Key), zap.Error(err))
				continue
			}
			hosts[h.Name] = h
		}
		if len(items) < hostsPage {
			return hosts, nil
		}
	}
}
