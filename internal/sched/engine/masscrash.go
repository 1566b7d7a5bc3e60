package engine

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"
)

const (
	// massWindow is the time within which simultaneous crashes become known. A job is given up only after that time.
	massWindow = time.Second
	// massMinimum is the least number of workers of one availability zone or rack that crash in a mass event, massRatio
	// the least ratio of these to the workers with runs there that go on.
	massMinimum = 3
	massRatio   = 2
)

// workerCrash is the unplanned end or restart of a worker with runs.
type workerCrash struct {
	worker *worker
	at     time.Time
	// The worker crashed after lastReply and before noReply.
	lastReply, noReply time.Time
	// suspected means that a task that was a suspect before may have caused it.
	suspected bool
	// mass means that most workers of an availability zone or rack may have crashed at the same moment, so that no task
	// caused it.
	mass bool
}

// addCrash records the crash of a worker with runs.
func (sc *Scheduler) addCrash(w *worker, suspected bool) *workerCrash {
	now := time.Now()
	c := &workerCrash{worker: w, at: now, lastReply: w.clockReadAt, noReply: now, suspected: suspected}
	if !w.unresponsiveSince.IsZero() {
		c.noReply = w.unresponsiveSince
	}
	w.crashedAt = now
	sc.crashes = append(sc.crashes, c)
	sc.crashesChanged = true
	return c
}

// findMassCrashes marks the recent crashes that are parts of mass events. It runs before tasks are placed and before
// jobs are given up, and not at each crash, because the loss of an availability zone is one crash for each worker.
func (sc *Scheduler) findMassCrashes(now time.Time) {
	if !sc.crashesChanged {
		return
	}
	sc.crashesChanged = false
	sc.crashes = slices.DeleteFunc(sc.crashes, func(c *workerCrash) bool { return now.Sub(c.at) > massWindow })
	domains := map[string][]*workerCrash{}
	for _, c := range sc.crashes {
		for _, d := range c.worker.domains() {
			domains[d] = append(domains[d], c)
		}
	}
	for d, list := range domains {
		if len(list) < massMinimum {
			delete(domains, d)
		}
	}
	if len(domains) == 0 {
		return
	}
	busy, idle := map[string]int{}, map[string]int{}
	for _, w := range sc.workers {
		if w.ended || !w.unresponsiveSince.IsZero() || now.Sub(w.crashedAt) <= massWindow {
			continue
		}
		for _, d := range w.domains() {
			if len(w.runs) > 0 {
				busy[d]++
			} else {
				idle[d]++
			}
		}
	}
	for d, list := range domains {
		sc.markMass(d, simultaneous(list), busy[d], idle[d])
	}
}

// markMass marks simultaneous crashes in a zone or rack as a mass event if they are massMinimum and massRatio times as
// many as the workers that go on with runs. Suspects often start at the same moment, so massMinimum of the workers must
// have had none, unless no worker goes on.
func (sc *Scheduler) markMass(domain string, list []*workerCrash, busy, idle int) {
	unsuspected := 0
	for _, c := range list {
		if !c.suspected {
			unsuspected++
		}
	}
	if len(list) < massMinimum || len(list) < massRatio*busy || unsuspected < massMinimum && busy+idle > 0 {
		return
	}
	sc.log.Warn("engine: most workers of a zone or rack crashed at once; no task is blamed", zap.String("where", domain),
		zap.Int("crashed", len(list)), zap.Int("busy", busy), zap.Int("idle", idle))
	for _, c := range list {
		c.mass = true
	}
}

// simultaneous returns the largest set of crashes that may have happened at one moment.
func simultaneous(list []*workerCrash) []*workerCrash {
	byStart := slices.SortedFunc(slices.Values(list), func(x, y *workerCrash) int {
		return cmp.Or(x.lastReply.Compare(y.lastReply), cmp.Compare(x.worker.ID, y.worker.ID))
	})
	ends := make([]time.Time, 0, len(list))
	for _, c := range list {
		ends = append(ends, c.noReply)
	}
	slices.SortFunc(ends, time.Time.Compare)
	most, over := 0, 0
	var moment time.Time
	for i, c := range byStart {
		for ends[over].Before(c.lastReply) {
			over++
		}
		if i+1-over > most {
			most, moment = i+1-over, c.lastReply
		}
	}
	return slices.DeleteFunc(byStart, func(c *workerCrash) bool {
		return c.lastReply.After(moment) || c.noReply.Before(moment)
	})
}

// domains returns the availability zone and the racks of a worker, whose workers may crash together.
func (w *worker) domains() []string {
	var list []string
	if w.Zone != "" {
		list = append(list, "zone "+w.Zone)
	}
	for _, l := range w.Labels {
		if isRack(l) {
			list = append(list, "rack "+l)
		}
	}
	return list
}
