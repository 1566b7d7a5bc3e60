package waves

import "testing"

// Guards against a wave that is never reported as completed because machines that have had their maintenance move to
// other pools, against one that is reported while machines are away or still due, and against more machines away than
// the wave's cap because one of them is taken for due.
func TestPhase(t *testing.T) {
	tests := []struct {
		name                string
		done, back, refused bool
		seen                Sighting
		want                Phase
	}{
		{name: "due", seen: Sighting{Listed: true, Up: true}, want: Left},
		{name: "due and broken", seen: Sighting{Listed: true}, want: Left},
		{name: "due and moving", seen: Sighting{Listed: true, Moving: true}, want: Elsewhere},
		{name: "due, moving and out of the list", seen: Sighting{Moving: true}, want: Elsewhere},
		{name: "gone for good", seen: Sighting{}, want: Over},
		{name: "can't be taken", refused: true, seen: Sighting{Listed: true, Up: true}, want: Over},
		{name: "being emptied", seen: Sighting{Listed: true, Up: true, Taken: true}, want: Down},
		{name: "away after a call without a reply", seen: Sighting{Listed: true, Maintained: true}, want: Down},
		{name: "away", done: true, seen: Sighting{Listed: true, Taken: true}, want: Down},
		{name: "away under a former holder", done: true, seen: Sighting{Listed: true}, want: Down},
		{name: "back", done: true, seen: Sighting{Listed: true, Up: true}, want: Over},
		{name: "back and moving", done: true, seen: Sighting{Listed: true, Moving: true}, want: Over},
		{name: "back before and broken now", done: true, back: true, seen: Sighting{Listed: true}, want: Over},
		{name: "removed after its maintenance", done: true, seen: Sighting{}, want: Over},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			l := NewLedger()
			x.seen.Name = "m"
			if x.done {
				l.Begin("m")
			}
			if x.back {
				l.Phase(Sighting{Name: "m", Listed: true, Up: true})
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
