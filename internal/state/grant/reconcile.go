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

// Run reconciles the grants with the demand until the context ends.
func (m *Manager) Run(ctx context.Context) {
	t := time.NewTicker(minCommitInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		changed := m.views.Changes()
		m.reconcile(ctx)
		select {
		case <-t.C:
		case <-m.wakeReconcile:
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// storedItems holds the items that one request to the store returned, by key.
type storedItems map[string]table.Item

// reconcile reads the records of all due teams in one request and commits the necessary changes.
func (m *Manager) reconcile(ctx context.Context) {
	if m.reset.Swap(false) {
		m.clearAccounts()
	}
	v, self := m.views.View(), *m.self.Load()
	if _, ok := v.Member(self); !ok {
		return
	}
	due := m.dueAccounts(v, time.Now())
	if len(due) == 0 {
		return
	}
	r, err := m.read(ctx, due, self)
	if err != nil {
		m.log.Warn("grant: could not read the grant records; retrying", zap.Error(err))
		for _, a := range due {
			a.due.Store(true)
			a.nextRead = time.Now().Add(minCommitInterval)
		}
		return
	}
	m.updateRemoved(r)
	var g errgroup.Group
	g.SetLimit(parallelCommits)
	var mu sync.Mutex
	var changed []fleet.TeamName
	for _, a := range due {
		g.Go(func() error {
			if m.reconcileTeam(ctx, a, v, self, r) {
				mu.Lock()
				defer mu.Unlock()
				changed = append(changed, a.team)
			}
			return nil
		})
	}
	_ = g.Wait()
	m.notifyPeers(ctx, v, self, changed)
}

func (m *Manager) clearAccounts() {
	m.accounts.Range(func(_, value any) bool {
		a := value.(*account)
		a.setLimit(0)
		a.recorded.Store(0)
		a.known, a.joined, a.recordedWant, a.outcomeUnknown = false, false, 0, false
		a.starvedSince, a.firstRead = time.Time{}, time.Time{}
		a.due.Store(true)
		return true
	})
}

// dueAccounts returns the accounts whose records are to be read now.
func (m *Manager) dueAccounts(v fleet.View, now time.Time) []*account {
	for t := range v.Document().Teams {
		m.account(t)
	}
	interval := sweepInterval
	if len(m.removed) > 0 {
		interval = pollInterval
	}
	sweep := now.Sub(m.lastSweep) >= interval
	if sweep {
		m.lastSweep = now
	}
	var due []*account
	m.accounts.Range(func(_, value any) bool {
		if a := value.(*account); m.isDue(a, v, sweep, now) {
			a.due.Store(false)
			due = append(due, a)
		}
		return true
	})
	return due
}

func (m *Manager) isDue(a *account, v fleet.View, sweep bool, now time.Time) bool {
	s, ok := v.Section(a.section)
	if s.Version != a.sectionVersion {
		a.sectionVersion = s.Version
		a.due.Store(true)
	}
	if now.Before(a.nextRead) {
		return false
	}
	if a.due.Load() || !a.known && ok {
		return true
	}
	return !now.Before(a.nextPoll) && (sweep || a.isPending() || ok && !m.isVerified(a))
}

// isPending reports whether the account has something left to read or write.
func (a *account) isPending() bool {
	limit, used := a.load()
	return a.outcomeUnknown || a.recordedWant > 0 || int(a.recorded.Load()) > max(limit, used)
}

func recordKey(t fleet.TeamName) string { return "grant/" + string(t) }

func (m *Manager) read(ctx context.Context, due []*account, self fleet.EntryID) (storedItems, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	keys := []string{view.MemberKey(self), view.HeadKey}
	for id := range m.removed {
		keys = append(keys, view.MemberKey(id))
	}
	for _, a := range due {
		keys = append(keys, recordKey(a.team), view.SectionKey(a.section))
	}
	items, err := m.table.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	r := make(storedItems, len(items))
	for _, i := range items {
		r[i.Key] = i
	}
	return r, nil
}

func decode[T any](r storedItems, key string) (T, error) {
	var t T
	i, ok := r[key]
	if !ok {
		return t, nil
	}
	if err := json.Unmarshal(i.Value, &t); err != nil {
		return t, err
	}
	if v, ok := any(t).(interface{ Validate() error }); ok {
		return t, v.Validate()
	}
	return t, nil
}

// reconcileTeam brings one team's grant towards its target and reports whether peers are to be notified.
func (m *Manager) reconcileTeam(
	ctx context.Context, a *account, v fleet.View, self fleet.EntryID, r storedItems,
) bool {
	now := time.Now()
	a.nextRead, a.nextPoll = now.Add(minReadInterval), now.Add(pollInterval)
	key := recordKey(a.team)
	old, err := decode[record](r, key)
	if err != nil {
		m.log.Error("grant: could not decode the grant record; the grant stays unchanged",
			zap.String("team", string(a.team)), zap.Error(err))
		return false
	}
	stored, err := decode[fleet.Section](r, view.SectionKey(a.section))
	if section, _ := v.Section(a.section); err != nil || section.Version != stored.Version {
		// The ceiling in the store differs from that in the view: wait until the view has caught up.
		a.nextRead = now.Add(minCommitInterval)
		a.due.Store(true)
		return false
	}
	if _, ok := r[view.MemberKey(self)]; !ok {
		return false
	}
	if a.outcomeUnknown && r[key].Version != a.unknownVersion {
		a.outcomeUnknown = false
	}
	s, rest := m.teamState(a, v, self, old, now)
	next, target := m.propose(a, s, rest, now)
	used := a.lowerLimit(target)
	next = next.with(withHeld(next.holdingOf(self), max(target, used)))
	if !a.outcomeUnknown && sameRecord(old, next) {
		m.applyRecord(a, self, stored.Version, s.ceiling, next, target)
		return false
	}
	if !m.limiter.Allow() {
		a.nextRead = now.Add(minCommitInterval)
		a.due.Store(true)
		return false
	}
	a.nextRead = now.Add(minCommitInterval)
	err = m.commit(ctx, a, next, self, r)
	if err == nil {
		m.applyRecord(a, self, stored.Version, s.ceiling, next, target)
		return affectsPeers(old, next, self, s.ceiling)
	}
	m.log.Debug("grant: could not commit the grant record; reading it again",
		zap.String("team", string(a.team)), zap.Error(err))
	a.due.Store(true)
	if !errors.Is(err, table.ErrConflict) && !errors.Is(err, table.ErrUnavailable) {
		a.outcomeUnknown, a.unknownVersion = true, r[key].Version
	}
	return false
}

// teamState returns the state of the team, and the record without the holders whose removal delay has passed.
func (m *Manager) teamState(
	a *account, v fleet.View, self fleet.EntryID, old record, now time.Time,
) (teamState, record) {
	_, used := a.load()
	s := teamState{
		self: self, ceiling: v.Document().Teams[a.team].Ceiling, used: used,
		waiting: int(a.waiting.Load()), unit: int(a.unit.Load()),
		leaving: m.leaving.Load(),
	}
	for _, e := range v.Members() {
		s.members = append(s.members, e.ID)
	}
	s.joining = a.isJoining(old.holdingOf(self).Held, s.ceiling/len(s.members), now)
	s.record = old.without(m.reclaimableHolders(old, s.members, self, now))
	return s, s.record
}

// propose returns the record with this entry instance's want, and the target of its grant. It advances the turn in the
// record if the entry instance has been starved for starvationTimeout.
func (m *Manager) propose(a *account, s teamState, rest record, now time.Time) (record, int) {
	target, want := plan(s)
	h := rest.holdingOf(s.self)
	if isSignificant(h.Want, want) {
		h.Want = want
	}
	h.Unit = 0
	if h.Want > 0 {
		h.Unit = s.unit
	}
	if want == 0 || target > 0 {
		a.starvedSince = time.Time{}
	} else if a.starvedSince.IsZero() {
		a.starvedSince = now
	} else if now.Sub(a.starvedSince) >= starvationTimeout {
		rest.Turn = (rest.Turn + 1) % len(s.members)
		a.starvedSince = now
	}
	return rest.with(h), target
}

// isSignificant reports whether a want differs enough from the recorded want, by at least a quarter or to or from 0, to
// justify a transaction.
func isSignificant(recorded, want int) bool {
	if recorded == 0 || want == 0 {
		return recorded != want
	}
	return 4*max(recorded-want, want-recorded) >= recorded
}

func withHeld(h holding, held int) holding {
	h.Held = held
	return h
}

func sameRecord(a, b record) bool { return a.Turn == b.Turn && slices.Equal(a.Holdings, b.Holdings) }

// applyRecord updates the account from a record that is known to be in the store, unless a Reset has begun another
// incarnation.
func (m *Manager) applyRecord(a *account, self fleet.EntryID, version uint64, ceiling int, stored record, target int) {
	m.resetMu.Lock()
	defer m.resetMu.Unlock()
	if *m.self.Load() != self {
		return
	}
	h := stored.holdingOf(self)
	a.known, a.outcomeUnknown, a.recordedWant = true, false, h.Want
	a.recorded.Store(int64(h.Held))
	a.setLimit(min(target, h.Held))
	if stored.total() <= ceiling {
		a.verifiedVersion.Store(version)
	}
}

// commit writes the record if the record, this entry instance's registration and the ceiling are unchanged.
func (m *Manager) commit(ctx context.Context, a *account, next record, self fleet.EntryID, r storedItems) error {
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
	m.commits.Inc(1)
	_, err = m.table.Commit(ctx, t)
	return err
}

// affectsPeers reports whether a change concerns other entry instances: this one wants more, has freed slots that
// others want, has reclaimed those of a removed holder, or has changed a record whose total was above the ceiling.
func affectsPeers(old, next record, self fleet.EntryID, ceiling int) bool {
	before, after := old.holdingOf(self), next.holdingOf(self)
	if after.Want > before.Want || old.total() > ceiling {
		return true
	}
	if after.Held >= before.Held {
		return len(next.Holdings) < len(old.Holdings)
	}
	return slices.ContainsFunc(next.Holdings, func(h holding) bool { return h.Entry != self && h.Want > h.Held })
}

func (m *Manager) notifyPeers(ctx context.Context, v fleet.View, self fleet.EntryID, teams []fleet.TeamName) {
	if len(teams) == 0 {
		return
	}
	slices.Sort(teams)
	for _, e := range v.Members() {
		if e.ID == self {
			continue
		}
		go func() {
			call, cancel := context.WithTimeout(context.WithoutCancel(ctx), notifyTimeout)
			defer cancel()
			// A lost notification is covered by the next sweep.
			_, _ = m.peers.NotifyGrants(call, e.Address, peer.NotifyGrantsRequest{From: self, Teams: teams})
		}()
	}
}
