package runner

import (
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// attempt is one try to run a task on one worker. It holds permits and a ceiling unit until it has surely ended.
type attempt struct {
	task     *task
	id       fleet.TaskID
	pool     fleet.PoolName
	instance fleet.InstanceID
	slots    int
	expires  time.Time // of the permits, for the reservation

	// Set before the start by the goroutine that runs the task; other goroutines read address and zone under mu.
	address string
	zone    fleet.AvailabilityZone
	boot    string      // of the worker, at or before the reservation; "" if not known
	before  reject.Work // what was known of the work before the start was sent
	began   time.Time

	mu      sync.Mutex
	renewed time.Time // when the last renewal or start was sent; zero before the start
	heard   time.Time // the last reply of the worker
	halted  bool      // no more renewals: the task is to end
}

// place notes where the worker is.
func (a *attempt) place(m fleet.PoolMember) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.address, a.zone = m.Address, m.Zone
}

// startedIn returns the availability zone of an attempt whose start was sent.
func (a *attempt) startedIn() (fleet.AvailabilityZone, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.zone, !a.renewed.IsZero()
}

// sending notes that a start or renewal is about to be sent.
func (a *attempt) sending() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.renewed = time.Now()
}

// reply notes that the worker replied.
func (a *attempt) reply() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.heard = time.Now()
}

// sinceHeard returns how long ago the worker last replied.
func (a *attempt) sinceHeard() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.heard)
}

// isRenewable reports whether the attempt's lease should be renewed: started, and heard of not long ago.
func (a *attempt) isRenewable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.halted && !a.renewed.IsZero() && time.Since(a.heard) < silence
}

// halt ends the renewals, so that the lease lapses if the worker can't be reached to stop the task.
func (a *attempt) halt() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.halted = true
}

// untilLapse returns how long the lease may still be alive; 0 or less means that it has certainly lapsed.
func (a *attempt) untilLapse() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return lapse - time.Since(a.renewed)
}
