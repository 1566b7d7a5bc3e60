package grant

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// Run moves grants until the context ends.
func (b *Manager) Run(ctx context.Context) {
	t := time.NewTicker(teamInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		changed := b.views.Changes()
		b.round(ctx)
		select {
		case <-t.C:
		case <-b.wake:
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// reading is what one request to the store returned, by key.
type reading map[string]table.Item

// round reads the records of every team that is due in one request and commits what has to change.
func (b *Manager) round(ctx context.Context) {
	if b.reset.Swap(false) {
		b.forget()
	}
	v, self := b.views.View(), *b.self.Load()
	if _, ok := v.Member(self); !ok {
		return
	}
	due := b.due(v, time.Now())
	if len(due) == 0 {
		return
	}
	r, err := b.read(ctx, due, self)
	if err != nil {
		b.log.Warn("grant: records unavailable", zap.Error(err))
		for _, a := range due {
			a.due.Store(true)
			a.next = time.Now().Add(teamInterval)
		}
		return
	}
	b.noteDeparted(r)
	var g errgroup.Group
	g.SetLimit(parallelCommits)
	var mu sync.Mutex
	var nudged []fleet.TeamName
	for _, a := range due {
		g.Go(func() error {
			if b.move(ctx, a, v, self, r) {
				mu.Lock()
				defer mu.Unlock()
				nudged = append(nudged, a.team)
			}
			return nil
		})
	}
	_ = g.Wait()
	b.nudge(ctx, v, self, nudged)
}

func (b *Manager) forget() {
	b.accounts.Range(func(_, value any) bool {
		a := value.(*account)
		a.setLimit(0)
		a.counted.Store(0)
		a.known, a.joined, a.want, a.uncertain = false, false, 0, false
		a.starved, a.asked = time.Time{}, time.Time{}
		a.due.Store(true)
		return true
	})
}

// due returns the accounts whose records are to be read now.
func (b *Manager) due(v fleet.View, now time.Time) []*account {
	for t := range v.Document().Teams {
		b.account(t)
	}
	interval := sweepInterval
	if len(b.departed) > 0 {
		interval = pollInterval
	}
	sweep := now.Sub(b.sweep) >= interval
	if sweep {
		b.sweep = now
	}
	var due []*account
	b.accounts.Range(func(_, value any) bool {
		if a := value.(*account); b.isDue(a, v, sweep, now) {
			a.due.Store(false)
			due = append(due, a)
		}
		return true
	})
	return due
}

func (b *Manager) isDue(a *account, v fleet.View, sweep bool, now time.Time) bool {
	s, ok := v.Section(a.section)
	if s.Version != a.seen {
		a.seen = s.Version
		a.due.Store(true)
	}
	if now.Before(a.next) {
		return false
	}
	if a.due.Load() || !a.known && ok {
		return true
	}
	return !now.Before(a.poll) && (sweep || a.pending() || ok && !b.open(a))
}

// pending reports whether the account has something left to read or write.
func (a *account) pending() bool {
	limit, used := a.load()
	return a.uncertain || a.want > 0 || int(a.counted.Load()) > max(limit, used)
}

func recordKey(t fleet.TeamName) string { return "grant/" + string(t) }

func (b *Manager) read(ctx context.Context, due []*account, self fleet.EntryID) (reading, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	keys := []string{view.MemberKey(self), view.HeadKey}
	for id := range b.departed {
		keys = append(keys, view.MemberKey(id))
	}
	for _, a := range due {
		keys = append(keys, recordKey(a.team), view.SectionKey(a.section))
	}
	items, err := b.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	r := make(reading, len(items))
	for _, i := range items {
		r[i.Key] = i
	}
	return r, nil
}

func decode[T any](r reading, key string) (T, error) {
	var t T
	i, ok := r[key]
	if !ok {
		return t, nil
	}
	err := json.Unmarshal(i.Value, &t)
	return t, err
}

// move brings one team's grant towards its target and returns true if the peers should look at it.
func (b *Manager) move(ctx context.Context, a *account, v fleet.View, self fleet.EntryID, r reading) bool {
	now := time.Now()
	a.next, a.poll = now.Add(readInterval), now.Add(pollInterval)
	key := recordKey(a.team)
	old, err := decode[record](r, key)
	if err != nil {
		b.log.Error("grant: record does not decode", zap.String("team", string(a.team)), zap.Error(err))
		return false
	}
	stored, err := decode[fleet.Section](r, view.SectionKey(a.section))
	if section, _ := v.Section(a.section); err != nil || section.Version != stored.Version {
		// The store's ceiling is not the view's: wait until the view has caught up.
		a.next = now.Add(teamInterval)
		a.due.Store(true)
		return false
	}
	if _, ok := r[view.MemberKey(self)]; !ok {
		return false
	}
	if a.uncertain && r[key].Version != a.unknown {
		a.uncertain = false
	}
	s, rest := b.situation(a, v, self, old, now)
	next, target := b.propose(a, s, rest, now)
	used := a.lowerLimit(target)
	next = next.with(raised(next.of(self), max(target, used)))
	if !a.uncertain && same(old, next) {
		b.adopt(a, self, stored.Version, s.ceiling, next, target)
		return false
	}
	if !b.limiter.Allow() {
		a.next = now.Add(teamInterval)
		a.due.Store(true)
		return false
	}
	a.next = now.Add(teamInterval)
	err = b.commit(ctx, a, next, self, r)
	if err == nil {
		b.adopt(a, self, stored.Version, s.ceiling, next, target)
		return wakesPeers(old, next, self, s.ceiling)
	}
	b.log.Debug("grant: commit failed", zap.String("team", string(a.team)), zap.Error(err))
	a.due.Store(true)
	if !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUnavailable) {
		a.uncertain, a.unknown = true, r[key].Version
	}
	return false
}

// situation returns what is known of the team, and the record without the holders whose settle time is over.
func (b *Manager) situation(a *account, v fleet.View, self fleet.EntryID, old record, now time.Time) (situation, record) {
	_, used := a.load()
	s := situation{
		self: self, ceiling: v.Document().Teams[a.team].Ceiling, used: used,
		wanted: int(a.wanted.Load()), unit: int(a.unit.Load()),
		leaving: b.leaving.Load(),
	}
	for _, m := range v.Members() {
		s.members = append(s.members, m.ID)
	}
	s.joining = a.isJoining(old.of(self).Held, s.ceiling/len(s.members), now)
	s.record = old.without(b.settledHolders(old, s.members, self, now))
	return s, s.record
}

// propose returns the record with this entry instance's want, and the target of its grant.
func (b *Manager) propose(a *account, s situation, rest record, now time.Time) (record, int) {
	target, want := plan(s)
	h := rest.of(s.self)
	if material(h.Want, want) {
		h.Want = want
	}
	h.Unit = 0
	if h.Want > 0 {
		h.Unit = s.unit
	}
	if want == 0 || target > 0 {
		a.starved = time.Time{}
	} else if a.starved.IsZero() {
		a.starved = now
	} else if now.Sub(a.starved) >= starveAfter {
		rest.Turn = (rest.Turn + 1) % len(s.members)
		a.starved = now
	}
	return rest.with(h), target
}

// material reports whether a want differs enough from the recorded one to be worth a transaction.
func material(recorded, want int) bool {
	if recorded == 0 || want == 0 {
		return recorded != want
	}
	return 4*max(recorded-want, want-recorded) >= recorded
}

func raised(h holding, held int) holding {
	h.Held = held
	return h
}

func same(a, b record) bool { return a.Turn == b.Turn && slices.Equal(a.Holdings, b.Holdings) }

// adopt takes over a record that is known to be in the store.
func (b *Manager) adopt(a *account, self fleet.EntryID, version uint64, ceiling int, now record, target int) {
	b.adopting.Lock()
	defer b.adopting.Unlock()
	if *b.self.Load() != self {
		return
	}
	h := now.of(self)
	a.known, a.uncertain, a.want = true, false, h.Want
	a.counted.Store(int64(h.Held))
	a.setLimit(min(target, h.Held))
	if now.total() <= ceiling {
		a.verified.Store(version)
	}
}

// commit writes the record if neither it, nor this entry's registration, nor the ceiling has changed.
func (b *Manager) commit(ctx context.Context, a *account, next record, self fleet.EntryID, r reading) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	key := recordKey(a.team)
	t := table.Transaction{Writes: []table.Write{{Key: key, Value: value}}}
	for _, k := range []string{key, view.MemberKey(self), view.SectionKey(a.section)} {
		t.Conditions = append(t.Conditions, table.Condition{Key: k, Version: r[k].Version})
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	b.commits.Inc(1)
	_, err = b.table.Commit(ctx, t)
	return err
}

// wakesPeers reports whether a change gives others something to do: this entry wants more, has freed
// what others want, or has helped to bring the total within a lowered ceiling.
func wakesPeers(old, now record, self fleet.EntryID, ceiling int) bool {
	before, after := old.of(self), now.of(self)
	if after.Want > before.Want || old.total() > ceiling {
		return true
	}
	if after.Held >= before.Held {
		return len(now.Holdings) < len(old.Holdings)
	}
	return slices.ContainsFunc(now.Holdings, func(h holding) bool { return h.Entry != self && h.Want > h.Held })
}

func (b *Manager) nudge(ctx context.Context, v fleet.View, self fleet.EntryID, teams []fleet.TeamName) {
	if len(teams) == 0 {
		return
	}
	slices.Sort(teams)
	for _, m := range v.Members() {
		if m.ID == self {
			continue
		}
		go func() {
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), nudgeTimeout)
			defer cancel()
			_, _ = b.peers.NotifyGrants(call, m.Address, peer.NotifyGrantsRequest{From: self, Teams: teams}) // a lost nudge costs a sweep
		}()
	}
}
