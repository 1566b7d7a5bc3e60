package engine

// narrowToRack narrows the workers down to one rack for a step that is to run in a single rack and has no run or
// completed task: of the racks that fit all its tasks, the one that fits the fewest. If no rack fits them, all workers
// remain.
func (sc *Scheduler) narrowToRack(s *stepState, workers []*worker) []*worker {
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
		slots := 0
		for _, w := range list {
			slots += sc.countFits(s, w)
		}
		if slots >= s.waiting && (best == "" || slots < least || slots == least && name < best) {
			best, least = name, slots
		}
	}
	if best == "" {
		return workers
	}
	return racks[best]
}

// countFits returns how many more tasks of a step fit on a worker, at most as many as the step has.
func (sc *Scheduler) countFits(s *stepState, w *worker) int {
	if !w.Has(s.spec.Label) {
		return 0
	}
	most := len(s.tasks)
	if s.spec.MaxPerWorker > 0 {
		most = min(most, s.spec.MaxPerWorker-sc.countRuns(s, w))
	}
	n := 0
	for n < most && s.spec.Reserved().Times(n+1).FitsIn(w.free()) {
		n++
	}
	return n
}
