package fair

// Place is what counts for the order of a list's entry.
type Place struct {
	Priority int
	Class    Class
	Beyond   bool
}

// tier returns the place of an entry among those of its priority. Across classes, work within the customers' shares goes before
// work beyond them, of which late work goes first; work that nobody waits for goes last.
func (p Place) tier(acrossClasses bool) int {
	switch {
	case acrossClasses && p.Beyond && p.Class == Late:
		return 2 * int(Late)
	case acrossClasses && p.Beyond && p.Class == OnTime:
		return 2*int(Late) + 1
	case acrossClasses && p.Class == Late:
		return 2*int(OnTime) + 1
	case p.Beyond:
		return 2*int(p.Class) + 1
	}
	return 2 * int(p.Class)
}

// tiers is the number of tiers of one priority.
const tiers = 2 * (int(Expired) + 1)

// Arrange moves the entries that are beyond their customers' shares behind the others of their priority and class, or of both
// classes that somebody waits for, in a list that is sorted by priority and class. It keeps the order otherwise, in linear time,
// and returns the list in a buffer.
func Arrange[T any](list, buffer []T, acrossClasses bool, place func(*T) Place) []T {
	buffer = buffer[:0]
	for len(list) > 0 {
		priority := place(&list[0]).Priority
		var counts [tiers]int
		end := 0
		for ; end < len(list) && place(&list[end]).Priority == priority; end++ {
			counts[place(&list[end]).tier(acrossClasses)]++
		}
		for tier, n := range counts {
			for i := 0; n > 0; i++ {
				if place(&list[i]).tier(acrossClasses) == tier {
					buffer = append(buffer, list[i])
					n--
				}
			}
		}
		list = list[end:]
	}
	return buffer
}
