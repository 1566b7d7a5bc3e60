package health

const (
	// unreachableAfter is the number of failed probes in a row that exclude a worker; a single lost probe does not.
	unreachableAfter = 2
	// ProvenAfter is the number of answered probes in a row that a returning availability zone needs of each worker.
	ProvenAfter = 3
)

// Reachability tracks the probes and refused reservations of one worker. A new worker gets no work until a probe
// succeeds.
type Reachability struct {
	answeredInRow int
	failedInRow   int
	everAnswered  bool
	blocked       bool
}

// ObserveProbe records the result of a probe.
func (r *Reachability) ObserveProbe(ok bool) {
	if !ok {
		r.failedInRow++
		r.answeredInRow = 0
		return
	}
	r.answeredInRow++
	r.failedInRow, r.everAnswered, r.blocked = 0, true, false
}

// Block excludes the worker until the next successful probe, because it refused a reservation or an entry could not
// reach it.
func (r *Reachability) Block() { r.blocked = true }

// Responds reports whether the worker answers probes.
func (r *Reachability) Responds() bool { return r.everAnswered && r.failedInRow < unreachableAfter }

// Usable reports whether the worker may get work.
func (r *Reachability) Usable() bool { return r.Responds() && !r.blocked }

// Proven reports whether enough probes in a row were answered.
func (r *Reachability) Proven() bool { return r.answeredInRow >= ProvenAfter }
