package waves

// Phase is the phase of a machine in a wave.
type Phase int

// The phases of a machine.
const (
	// Pending machines have not started maintenance.
	Pending Phase = iota
	// OtherWork machines are first moved or maintained for another reason.
	OtherWork
	// InProgress machines are in maintenance or being drained for it.
	InProgress
	// Finished machines are back from maintenance, were removed or refused maintenance.
	Finished
)

// MachineStatus is the observed status of a machine.
type MachineStatus struct {
	Name string
	// Listed machines exist; Up machines are not moving, in maintenance or down.
	Listed, Up bool
	// InMaintenance machines are in maintenance.
	InMaintenance bool
	// Taken machines have an operation of this wave in progress: they are in maintenance or being drained for it. Moving
	// machines have another operation in progress: a move, or the maintenance of another wave.
	Taken, Moving bool
}

// Tracker tracks the machines of one wave.
type Tracker struct {
	// Done holds the machines whose maintenance has started.
	Done map[string]bool `json:"done"`
	// returned holds those that were observed up or moving after their maintenance, refused those that can't be
	// maintained. They are not stored: a new leader observes both again.
	returned, refused map[string]bool
}

// NewTracker returns a tracker without progress.
func NewTracker() *Tracker { return &Tracker{Done: map[string]bool{}} }

// MarkStarted records that the maintenance of a machine has started.
func (t *Tracker) MarkStarted(name string) { t.Done[name] = true }

// MarkRefused records that a machine can't be maintained.
func (t *Tracker) MarkRefused(name string) { t.refused = with(t.refused, name) }

func with(m map[string]bool, name string) map[string]bool {
	if m == nil {
		m = map[string]bool{}
	}
	m[name] = true
	return m
}

// Phase returns the phase of a machine. A machine that returned from maintenance stays finished whatever happens to it
// later, except while it is taken or in maintenance again.
func (t *Tracker) Phase(s MachineStatus) Phase {
	switch {
	case s.Taken, s.InMaintenance:
		// Maintenance counts even if the reply to the call that started it was lost. It may belong to another wave, so
		// Done stays unset and the machine still needs its own maintenance.
		return InProgress
	case t.Done[s.Name] && (s.Up || s.Moving):
		t.returned = with(t.returned, s.Name)
		return Finished
	case t.Done[s.Name] && s.Listed && !t.returned[s.Name]:
		return InProgress
	case t.Done[s.Name] || t.refused[s.Name]:
		return Finished
	case s.Moving:
		return OtherWork
	case !s.Listed:
		return Finished
	}
	return Pending
}
