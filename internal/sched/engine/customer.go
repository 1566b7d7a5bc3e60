package engine

import (
	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/sched/expect"
)

// customer is what the scheduler keeps of a customer with jobs in this term.
type customer struct {
	name string
	// index is the customer's place among those of the scheduler.
	index int
	// usage is what the customer's runs use of its cap.
	usage work.Need
}

// customer returns the customer with a name.
func (sc *Scheduler) customer(name string) *customer {
	c, ok := sc.customers[name]
	if !ok {
		c = &customer{name: name, index: len(sc.customers)}
		sc.customers[name] = c
		sc.customerList = append(sc.customerList, c)
	}
	return c
}

// Weight returns a customer's weight in the current config.
func (sc *Scheduler) Weight(customer string) float64 {
	return max(sc.config.Customers[customer].Weight, minWeight)
}

// finiteRun is what the ranking of steps needs of a run of a finite task.
type finiteRun struct {
	run *run
	// need is what the run reserves, customer the index of its customer.
	need     work.Need
	customer int
	// expected is what was expected at the start.
	expected expect.Expectation
}

// addRun adds a run of a known task to what is kept of its worker and its customer.
func (sc *Scheduler) addRun(r *run) {
	w, j := r.worker, r.stepState.job
	w.reserved = w.reserved.Plus(r.need)
	j.owner.usage = j.owner.usage.Plus(r.charge)
	sc.index.countRun(w, r, 1)
	if r.stepState.spec.LongRunning {
		return
	}
	r.finiteIndex = len(w.finiteRuns)
	w.finiteRuns = append(w.finiteRuns, finiteRun{run: r, need: r.need, customer: j.owner.index, expected: sc.expectRun(r)})
}

// removeRun removes a run from what is kept of its worker and its customer.
func (sc *Scheduler) removeRun(r *run) {
	w, j := r.worker, r.stepState.job
	w.reserved = w.reserved.Minus(r.need)
	j.owner.usage = j.owner.usage.Minus(r.charge)
	sc.index.countRun(w, r, -1)
	if r.stepState.spec.LongRunning {
		return
	}
	last := len(w.finiteRuns) - 1
	w.finiteRuns[r.finiteIndex] = w.finiteRuns[last]
	w.finiteRuns[r.finiteIndex].run.finiteIndex = r.finiteIndex
	w.finiteRuns[last] = finiteRun{}
	w.finiteRuns = w.finiteRuns[:last]
}
