package runner

import (
	"sync"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// attempt is one try to run a task on one worker. It holds a permit and ceiling units until it has ended for certain.
type attempt struct {
	task          *task
	id            fleet.TaskID
	pool          fleet.PoolName
	instance      fleet.InstanceID
	slots         int
	permitExpires time.Time // after which the slots may not be reserved

	// Set before the start by the goroutine that runs the task; other goroutines read the zone under mu, and the
	// address once isRenewable has reported true.
	address    string
	zone       fleet.AvailabilityZone
	bootID     string      // of the worker, at or before the reservation; "" if not known
	workBefore reject.Work // what was known of the work before the start was sent
	startedAt  time.Time

	mu            sync.Mutex
	renewalSentAt time.Time // the start counts as a renewal; zero before it
	lastReply     time.Time // of the worker; the sending of the start counts as one
	renewalsEnded bool      // because the task is to end
}

// setLocation sets the address and the availability zone of the worker.
func (a *attempt) setLocation(m fleet.PoolMember) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.address, a.zone = m.Address, m.Zone
}

// startedZone returns the availability zone of an attempt, and whether its start was sent.
func (a *attempt) startedZone() (fleet.AvailabilityZone, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.zone, !a.renewalSentAt.IsZero()
}

// noteRenewal notes that a start or renewal is about to be sent.
func (a *attempt) noteRenewal() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.renewalSentAt = time.Now()
}

// noteReply notes that the worker replied.
func (a *attempt) noteReply() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastReply = time.Now()
}

// sinceReply returns the time since the last reply of the worker.
func (a *attempt) sinceReply() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.lastReply)
}

// isRenewable reports whether the lease should be renewed: the start was sent, the worker replied within
// unresponsiveTimeout, and endRenewals was not called.
func (a *attempt) isRenewable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.renewalsEnded && !a.renewalSentAt.IsZero() && time.Since(a.lastReply) < unresponsiveTimeout
}

// endRenewals ends the renewals, so that the lease expires if the worker can't be reached to stop the task.
func (a *attempt) endRenewals() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.renewalsEnded = true
}

// untilLeaseExpiry returns how long the lease may still be valid; 0 or less means that it has expired for certain.
func (a *attempt) untilLeaseExpiry() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return leaseExpiry - time.Since(a.renewalSentAt)
}
