package waves

// Phase is where a machine of a wave stands.
type Phase int

// The phases of a machine.
const (
	// Pending: its maintenance has not been begun.
	Pending Phase = iota
	// OtherWork: something else is done to it first.
	OtherWork
	// InProgress: it is away or being emptied for its maintenance.
	InProgress
	// Finished: it is back, gone for good or can't be taken.
	Finished
)

// MachineStatus is what is seen of a machine.
type MachineStatus struct {
	Name string
	// Listed machines exist; Up ones are neither moving nor under maintenance nor down.
	Listed, Up bool
	// InMaintenance machines are under maintenance.
	InMaintenance bool
	// Taken means that it is away or being emptied for this wave, Moving that it is so for something else.
	Taken, Moving bool
}

// Tracker is what became of the machines of one wave.
type Tracker struct {
	// Done are the machines whose maintenance has been begun.
	Done map[string]bool `json:"done"`
	// back are those of them that were seen again afterwards, and refused those that can't be taken. A new holder of the
	// ledger learns both anew.
	back, refused map[string]bool
}

// NewTracker returns an empty ledger.
func NewTracker() *Tracker { return &Tracker{Done: map[string]bool{}} }

// Begin notes that the maintenance of a machine has been begun.
func (l *Tracker) Begin(name string) { l.Done[name] = true }

// Refuse notes that a machine can't be taken.
func (l *Tracker) Refuse(name string) { l.refused = with(l.refused, name) }

func with(m map[string]bool, name string) map[string]bool {
	if m == nil {
		m = map[string]bool{}
	}
	m[name] = true
	return m
}

// Phase says where a machine stands. One that is back stays so, whatever is done to it later.
func (l *Tracker) Phase(s MachineStatus) Phase {
	switch {
	case s.Taken, s.InMaintenance:
		// Maintenance counts even if the reply to the call that began it was lost. It may be that of another wave, so the
		// machine stays due.
		return InProgress
	case l.Done[s.Name] && (s.Up || s.Moving):
		l.back = with(l.back, s.Name)
		return Finished
	case l.Done[s.Name] && s.Listed && !l.back[s.Name]:
		return InProgress
	case l.Done[s.Name] || l.refused[s.Name]:
		return Finished
	case s.Moving:
		return OtherWork
	case !s.Listed:
		return Finished
	}
	return Pending
}
