package leader

import (
	"time"

	"go.uber.org/zap"
)

// While the store is slow or away, starts are sent without a record in it once every peer knows that there may be such starts.
// A peer that takes over then waits for the end of the leader's calls, see engine.AssumeUnrecordedStarts, and so does a process that
// has not heard from the leader.

const (
	// maxRecordWait is how long a planned start waits for its record before the leader prepares to send starts without one.
	maxRecordWait = 100 * time.Millisecond
	// unrecordedTTL is how long it goes on so at least.
	unrecordedTTL = time.Second
)

// formerStartsRecorded reports whether the store holds every start of the leaders before a term that a worker may still execute.
func (s *Service) formerStartsRecorded(term int64) bool {
	s.mu.Lock()
	own, recorded := s.endedTerm == term-1, s.unrecordedSince.IsZero()
	s.mu.Unlock()
	return term == 1 || own && recorded || !own && s.StartsRecorded != nil && s.StartsRecorded(term-1)
}

// setUnrecorded sets whether a worker may execute a start that the store does not hold.
func (s *Service) setUnrecorded(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unrecordedSince = time.Time{}
	if on {
		s.unrecordedSince = time.Now()
	}
}

// unrecordedFor returns the time since setUnrecorded, 0 if it is off.
func (s *Service) unrecordedFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unrecordedSince.IsZero() {
		return 0
	}
	return time.Since(s.unrecordedSince)
}

// peersKnowUnrecorded reports whether starts may be sent without a record: every peer has received a reply that says so, by the
// stamp that it echoes.
func (s *Service) peersKnowUnrecorded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unrecordedSince.IsZero() || s.leadership == nil {
		return false
	}
	for _, h := range s.heartbeats {
		if time.Since(h.at) <= memberMaxAge && (h.confirmedTerm != s.leadership.Term() || h.echoedAt.Before(s.unrecordedSince)) {
			return false
		}
	}
	return true
}

// storeIsSlow reports whether a start that is planned now would wait too long for its record; s.mu must be held.
func (s *session) storeIsSlow() bool {
	took := time.Duration(s.commitTook.Load())
	if began := s.commitBegan.Load(); began != nil {
		took = max(took, time.Since(*began))
	}
	return max(took, s.scheduler.PlannedStartsWait()) > maxRecordWait
}

// observePlannedStarts decides whether starts may be sent without a record; s.mu must be held.
func (s *session) observePlannedStarts() {
	waited, since := s.scheduler.PlannedStartsWait(), s.service.unrecordedFor()
	switch {
	case since == 0 && waited > maxRecordWait:
		s.log.Warn("leader: the store is slow to record starts; telling the peers that starts may be sent without a record",
			zap.Duration("waited", waited), zap.Duration("age", s.leadership.SinceConfirmed()))
		s.service.setUnrecorded(true)
	case since > unrecordedTTL && !s.storeIsSlow() && s.scheduler.RecordsAllStarts():
		s.log.Info("leader: the store records all starts again", zap.Duration("after", since))
		s.service.setUnrecorded(false)
	}
}
