package engine

// together narrows the workers down to one rack with room for all waiting tasks of a step that wants one rack and has
// no run yet: the rack that is left with the least room. Without such a rack all workers remain.
func (b *Scheduler) together(s *bundle, workers []*worker) []*worker {
	if !s.spec.SameRack || s.waiting < len(s.tasks) {
		return workers
	}
	racks := map[string][]*worker{}
	for _, w := range workers {
		for _, l := range w.Labels {
			if isRack(l) {
				racks[l] = append(racks[l], w)
			}
		}
	}
	best, least := "", 0
	for name, list := range racks {
		rooms := 0
		for _, w := range list {
			rooms += b.rooms(s, w)
		}
		if rooms >= s.waiting && (best == "" || rooms < least || rooms == least && name < best) {
			best, least = name, rooms
		}
	}
	if best == "" {
		return workers
	}
	return racks[best]
}

// rooms returns how many tasks of a step a worker has room for, at most as many as the step has.
func (b *Scheduler) rooms(s *bundle, w *worker) int {
	if !w.Has(s.spec.Label) {
		return 0
	}
	most := len(s.tasks)
	if s.spec.MaxPerWorker > 0 {
		most = min(most, s.spec.MaxPerWorker-b.beside(s, w))
	}
	n := 0
	for n < most && s.spec.Reserved().Times(n+1).Within(w.free()) {
		n++
	}
	return n
}
