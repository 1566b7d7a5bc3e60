package runner

import (
	"context"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// renewAll renews the leases of all running tasks, with one request per worker. Unresponsive workers are left out, so
// that the time at which their leases expire is certain. Nothing is renewed under a stale view: this instance may have
// been removed, and its ceiling grants return to the others once its leases have expired.
func (r *Runner) renewAll(context.Context) {
	if r.options.Views.Fresh() != nil {
		return
	}
	byAddress := map[string][]*attempt{}
	r.mu.Lock()
	for _, a := range r.attempts {
		if a.isRenewable() {
			byAddress[a.address] = append(byAddress[a.address], a)
		}
	}
	r.mu.Unlock()
	for address, as := range byAddress {
		go r.renew(address, as)
	}
}

func (r *Runner) renew(address string, as []*attempt) {
	ids := make([]fleet.TaskID, 0, len(as))
	for _, a := range as {
		a.noteRenewal()
		ids = append(ids, a.id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := r.options.Workers.Renew(ctx, address, lease, ids); err != nil {
		r.log.Debug("runner: leases could not be renewed, trying again at the next interval", addressField(address),
			errField(err))
		return
	}
	for _, a := range as {
		a.noteReply()
	}
}
