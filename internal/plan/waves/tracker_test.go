package waves

import "testing"

// TestPhase guards against a wave that is never reported as completed because machines move to other pools after their
// maintenance, against one that is reported as completed while machines are pending or in progress, and against more
// machines in maintenance than the wave's cap because one of them counts as pending.
func TestPhase(t *testing.T) {
	tests := []struct {
		name                    string
		done, returned, refused bool
		status                  MachineStatus
		want                    Phase
	}{
		{name: "due", status: MachineStatus{Listed: true, Up: true}, want: Pending},
		{name: "due and down", status: MachineStatus{Listed: true}, want: Pending},
		{name: "due and moving", status: MachineStatus{Listed: true, Moving: true}, want: OtherWork},
		{name: "due, moving and not listed", status: MachineStatus{Moving: true}, want: OtherWork},
		{name: "no longer listed", status: MachineStatus{}, want: Finished},
		{name: "can't be maintained", refused: true, status: MachineStatus{Listed: true, Up: true}, want: Finished},
		{name: "being drained", status: MachineStatus{Listed: true, Up: true, Taken: true}, want: InProgress},
		{name: "away after a call without a reply", status: MachineStatus{Listed: true, InMaintenance: true},
			want: InProgress},
		{name: "away", done: true, status: MachineStatus{Listed: true, Taken: true}, want: InProgress},
		{name: "away since a former leader", done: true, status: MachineStatus{Listed: true}, want: InProgress},
		{name: "back", done: true, status: MachineStatus{Listed: true, Up: true}, want: Finished},
		{name: "back and moving", done: true, status: MachineStatus{Listed: true, Moving: true}, want: Finished},
		{name: "back before and down now", done: true, returned: true, status: MachineStatus{Listed: true}, want: Finished},
		{name: "removed after its maintenance", done: true, status: MachineStatus{}, want: Finished},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			tr := NewTracker()
			x.status.Name = "m"
			if x.done {
				tr.MarkStarted("m")
			}
			if x.returned {
				tr.Phase(MachineStatus{Name: "m", Listed: true, Up: true})
			}
			if x.refused {
				tr.MarkRefused("m")
			}
			if got := tr.Phase(x.status); got != x.want {
				t.Errorf("phase %d, want %d", got, x.want)
			}
		})
	}
}
