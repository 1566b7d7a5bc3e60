// Package detect decides whether a leader that does not answer, or that the store does not serve, is lost, and which
// instances find that out. It performs no I/O.
package detect

import "time"

// Times of a check.
const (
	// HeartbeatInterval is the time between two heartbeats of a successor.
	HeartbeatInterval = 100 * time.Millisecond
	// SuspectAfter is how long a successor waits for the reply to a heartbeat before it checks the leader. The round trip
	// is 2 ms.
	SuspectAfter = 60 * time.Millisecond
	// SuspectUnconfirmed is for how long the store must not have confirmed the leader, by its own reply, before a successor
	// reads the leader record. A leader that the store serves is confirmed every 150 ms.
	SuspectUnconfirmed = 180 * time.Millisecond
	// ReadInterval is the longest time between two reads of the leader record during a check.
	ReadInterval = 50 * time.Millisecond
	// CheckInterval is the least time between the starts of two checks, MaxDuration the longest duration of one.
	CheckInterval = 250 * time.Millisecond
	MaxDuration   = time.Second
	// ProbeTimeout bounds a probe of the leader, AskTimeout the question to a peer, which probes the leader itself.
	ProbeTimeout = 120 * time.Millisecond
	AskTimeout   = 180 * time.Millisecond
	// RankDelay is the time between the attempts of two successors of neighbouring ranks: a few times what a conditional
	// write takes.
	RankDelay = 60 * time.Millisecond
)

// Times for which the leader record must be unchanged. Those for a leader whose process may run are at least
// elect.LeastTakeoverTime: 250 ms for a leader that designates successors, 500 ms for another.
const (
	exitedAge  = 100 * time.Millisecond
	lostAge    = 250 * time.Millisecond
	cutOffAge  = 250 * time.Millisecond
	unheardAge = 500 * time.Millisecond
	// cutOffUnconfirmed is for how long the store must not have confirmed a leader that counts as cut off from it.
	cutOffUnconfirmed = 350 * time.Millisecond
	// slowFactor is the least age as a multiple of the slowest recent read: with a slow store the leader's transactions take
	// longer too.
	slowFactor = 3
	// minUnreached is how many peers must have failed to reach the leader, unless fewer are known.
	minUnreached = 2
)

// Probe is the result of this instance's probe of the leader over a new connection.
type Probe string

// The results of a probe. The empty Probe is pending.
const (
	ProbePending Probe = ""
	ProbeReached Probe = "reached"
	ProbeFailed  Probe = "failed"
)

// Record is what this instance's reads of the leader record show.
type Record struct {
	// Known is false if the last read failed; the other fields are unknown then.
	Known bool
	// Age is for how long the record has been unchanged at least: from the reply to the first read of its version to the
	// sending of the last read.
	Age time.Duration
	// SlowestRead is the longest duration of the last 8 reads, AnsweredFor the time since the last failed read.
	SlowestRead, AnsweredFor time.Duration
}

// Evidence is what a check has found so far.
type Evidence struct {
	// Heard means that this process has received a reply from a leader.
	Heard bool
	// Delay is added to the required age: the delay by rank of a successor, the election delay of another instance.
	Delay time.Duration
	// Exited means that the leader's process is known to have exited, LaterTerm that a peer knows of a later term.
	Exited, LaterTerm bool
	Probe             Probe
	// Unconfirmed is for how long the store has not confirmed the leader, by its last reply.
	Unconfirmed time.Duration
	// Asked is the number of peers asked, Pending how many of them may still answer; Reached and Unreached count the answers.
	Asked, Pending, Reached, Unreached int
	Record                             Record
}

// Verdict is the result of a check.
type Verdict string

// The verdicts. The empty Verdict means that the check goes on.
const (
	Undecided Verdict = ""
	// NotLost means that there is no reason to take over.
	NotLost Verdict = "not lost"
	// Lost means that the leader's process does not run or can't be reached by most peers.
	Lost Verdict = "lost"
	// CutOff means that the store serves this instance and not the leader.
	CutOff Verdict = "cut off from the store"
)

// Decision is a verdict, or the time until the next read of the leader record.
type Decision struct {
	Verdict  Verdict
	NextRead time.Duration
}

// TakesOver reports whether the instance is to acquire leadership.
func (d Decision) TakesOver() bool { return d.Verdict == Lost || d.Verdict == CutOff }

// Decide decides about a leader by the evidence of a check.
func Decide(e Evidence) Decision {
	switch {
	case e.LaterTerm:
		return Decision{Verdict: NotLost}
	case e.Exited:
		return atAge(e, exitedAge, Lost)
	case e.Probe == ProbeReached && (!e.Heard || e.Unconfirmed < SuspectUnconfirmed):
		// Only a leader that designates successors expects to lose leadership while it runs and answers.
		return Decision{Verdict: NotLost}
	case e.Probe == ProbeReached:
		return decideCutOff(e)
	case e.Probe == ProbePending:
		return Decision{NextRead: ReadInterval}
	}
	answered := e.Reached + e.Unreached
	switch {
	case e.Asked > 0 && 2*e.Unreached <= e.Asked && e.Pending > 0:
		return Decision{NextRead: ReadInterval}
	case e.Asked > 0 && answered > 0 && 2*e.Unreached <= answered:
		return Decision{Verdict: NotLost}
	case e.Unreached < min(minUnreached, e.Asked):
		return Decision{NextRead: ReadInterval}
	case e.Pending > 0 && e.Asked == 0:
		// The peers are not known yet.
		return Decision{NextRead: ReadInterval}
	case !e.Heard:
		return atAge(e, unheardAge, Lost)
	}
	return atAge(e, lostAge, Lost)
}

// decideCutOff decides about a leader that answers and that the store has not confirmed for a while.
func decideCutOff(e Evidence) Decision {
	// A store that was away for all instances may answer this one again before the leader's transaction in progress has timed
	// out, which takes about a second.
	if e.Unconfirmed < cutOffUnconfirmed || e.Record.AnsweredFor < e.Unconfirmed {
		return Decision{NextRead: ReadInterval}
	}
	return atAge(e, cutOffAge, CutOff)
}

// atAge returns the verdict if the record has been unchanged for long enough.
func atAge(e Evidence, least time.Duration, v Verdict) Decision {
	if !e.Record.Known {
		return Decision{NextRead: ReadInterval}
	}
	left := max(least, slowFactor*e.Record.SlowestRead) + e.Delay - e.Record.Age
	if left <= 0 {
		return Decision{Verdict: v}
	}
	return Decision{NextRead: min(left, ReadInterval)}
}
