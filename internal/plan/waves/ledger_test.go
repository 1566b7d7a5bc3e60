package waves

import "testing"

// Guards against a wave that is never reported as completed because machines that have had their maintenance move to
// other pools, against one that is reported while machines are away or still due, and against more machines away than
// the wave's cap because one of them is taken for due.
func TestPhase(t *testing.T) {
	tests := []struct {
		name                string
		done, back, refused bool
		seen                MachineStatus
		want                Phase
	}{
		{name: "due", seen: MachineStatus{Listed: true, Up: true}, want: Pending},
		{name: "due and broken", seen: MachineStatus{Listed: true}, want: Pending},
		{name: "due and moving", seen: MachineStatus{Listed: true, Moving: true}, want: OtherWork},
		{name: "due, moving and out of the list", seen: MachineStatus{Moving: true}, want: OtherWork},
		{name: "gone for good", seen: MachineStatus{}, want: Finished},
		{name: "can't be taken", refused: true, seen: MachineStatus{Listed: true, Up: true}, want: Finished},
		{name: "being emptied", seen: MachineStatus{Listed: true, Up: true, Taken: true}, want: InProgress},
		{name: "away after a call without a reply", seen: MachineStatus{Listed: true, InMaintenance: true}, want: InProgress},
		{name: "away", done: true, seen: MachineStatus{Listed: true, Taken: true}, want: InProgress},
		{name: "away under a former holder", done: true, seen: MachineStatus{Listed: true}, want: InProgress},
		{name: "back", done: true, seen: MachineStatus{Listed: true, Up: true}, want: Finished},
		{name: "back and moving", done: true, seen: MachineStatus{Listed: true, Moving: true}, want: Finished},
		{name: "back before and broken now", done: true, back: true, seen: MachineStatus{Listed: true}, want: Finished},
		{name: "removed after its maintenance", done: true, seen: MachineStatus{}, want: Finished},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			l := NewTracker()
			x.seen.Name = "m"
			if x.done {
				l.Begin("m")
			}
			if x.back {
				l.Phase(MachineStatus{Name: "m", Listed: true, Up: true})
			}
			if x.refused {
				l.Refuse("m")
			}
			if got := l.Phase(x.seen); got != x.want {
				t.Errorf("phase %d, want %d", got, x.want)
			}
		})
	}
}
