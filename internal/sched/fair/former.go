package fair

// minHorizon is the least period, in seconds, over which shares are computed, which applies if all waiting work is late: about
// one task's run time.
const minHorizon = 1.0

// MarkSurplus marks, in a sorted list, the steps of customers whose running work and waiting work of earlier steps use up their
// weighted share of what the pool can do until the latest deadline of the listed jobs, in processor time. Jobs that are already
// late count too, long-running tasks don't. While the pool can do everything in time or only one customer has work, no step is
// marked: customers may exceed their shares, and the order by latest start serves all. The remaining run time of the runs is at
// most longest. It reports whether any step is marked.
func (d *Division) MarkSurplus(c Capacity, items []Item, customers []Customer, longest float64, runs Runs) (marked bool) {
	d.claims.reset(len(customers))
	total, horizon := 0.0, minHorizon
	for i := range items {
		if e := &items[i]; e.Class != Exempt {
			waiting := cpu.of(e.Need) * e.RunTime
			total += waiting
			horizon = max(horizon, e.Deadline)
			d.claims.of(e.Customer).Normal += int(waiting)
		}
	}
	capacity := cpu.of(c.Total) * horizon
	if len(d.claims.active) < 2 || total+cpu.of(c.Used)*longest <= capacity {
		// The customers of running tasks don't change the order of the waiting steps of a single one.
		return false
	}
	runs(func(r Run) {
		remaining := cpu.of(r.Need) * max(r.Remaining, 0)
		total += remaining
		d.claims.of(r.Customer).Allocated += int(remaining)
	})
	if total <= capacity {
		return false
	}
	d.claims.setWeights(customers)
	d.divide(capacity)
	for i := range items {
		if e := &items[i]; e.Class != Exempt {
			o := d.claims.of(e.Customer)
			e.Beyond = float64(o.Allocated) >= o.Due()
			marked = marked || e.Beyond
			o.Allocated += int(cpu.of(e.Need) * e.RunTime)
		}
	}
	return marked
}
