package elect

import (
	"time"

	"go.uber.org/zap"
)

const (
	// HandoverMargin is by how much the election delay of an instance must be shorter than the leader's for a handover.
	// A change of the leader costs callers about as long.
	HandoverMargin = 500 * time.Millisecond
	// offerTTL is how long an instance tries to acquire leadership after it accepted an offer.
	offerTTL = time.Second
	// offerRetryInterval is the longest time between two tries, about that of a transaction.
	offerRetryInterval = 20 * time.Millisecond
)

// offer is an offer of leadership by the leader of a term.
type offer struct {
	term    int64
	expires time.Time
}

// AcceptOffer is called when the leader offers leadership, with the delay with which the leader would stand for
// election. It reports whether this instance accepts: it then acquires leadership at once, whether the leader has
// released it or not, which is safe because its conditional write fences the former leader. It declines if it is
// hardly better suited, or about to exit.
func (e *Elector) AcceptOffer(r LeaderRecord, leaderDelay time.Duration) bool {
	own := e.electionDelay()
	if own+HandoverMargin > leaderDelay || e.ShuttingDown != nil && e.ShuttingDown() || r.Term < e.knownTerm() {
		e.Log.Info("elect: offer of leadership declined", zap.String("leader", r.Name), zap.Int64("term", r.Term),
			zap.Duration("own", own), zap.Duration("delay", leaderDelay))
		return false
	}
	e.offer.Store(&offer{term: r.Term, expires: time.Now().Add(offerTTL)})
	select {
	case e.offered <- struct{}{}:
	default:
	}
	return true
}

// hasOffer reports whether this instance has accepted an offer of the leader of a term that has not expired.
func (e *Elector) hasOffer(term int64) bool {
	o := e.offer.Load()
	return o != nil && o.term == term && time.Now().Before(o.expires)
}

// knownTerm returns the latest known term, or 0.
func (e *Elector) knownTerm() int64 {
	if r := e.record.Load(); r != nil {
		return r.Term
	}
	return 0
}
