package shift

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/plan/cycle"
)

const (
	// breakEven is the idle time from which releasing a machine saves money: a move costs as much as 1.1 s of a machine,
	// and it takes two.
	breakEven = 2300 * time.Millisecond
	// emptyTime is how long a machine of a pool without a burst so far must be empty before it is released.
	emptyTime = 3 * time.Second
	// riseTime is how long after the start of a prepared burst its predicted height counts. The fast average has reached
	// 95 % of a step after three of its time constants.
	riseTime = 3 * fastTimeConstant
	// passInterval is about the time between two decisions: what the next one adds comes later by as much.
	passInterval = 200 * time.Millisecond
	// maxHeightRatio bounds a forecast, as a multiple of the learned height, while work waits. While none waits, the bound
	// is the height itself: the headroom covers bursts that are higher by as much.
	maxHeightRatio = 1.2
	// reserveTime is how long after an unexpected start empty machines are kept for the pool: its demand shows its height
	// after a time constant of the fast average, and a machine on its way to the spare pool can't be used.
	reserveTime = 1200 * time.Millisecond
	// reserveRatio is the demand for which they are kept, as a multiple of the typical height: a forecast is at most twice
	// the demand, which may itself be higher than typical.
	reserveRatio = 2.5
)

// preparation is the demand for which a pool has machines before or when its burst begins.
type preparation struct {
	// height is that of the whole burst, need the part for which machines that move now are in time.
	height, need float64

	start, until time.Time
	bursting     bool
}

// outlook is what the planner uses of the learned cycle.
type outlook struct {
	options      Options
	model        *cycle.Model
	preparations map[string]preparation
	// emptySince is since when a machine is empty in its pool, by machine.
	emptySince map[string]occupancy
	// idleCPU is the CPU of all machines that are empty or off, idleIn that of the empty ones by pool.
	idleCPU float64
	idleIn  map[string]float64

	// startedAt is when this leader made its first decision.
	startedAt time.Time
	// prepared counts the machines moved for predicted bursts.
	prepared int64
}

type occupancy struct {
	pool  string
	since time.Time
}

func newOutlook(o Options, m *cycle.Model) *outlook {
	return &outlook{options: o, model: m, preparations: map[string]preparation{}, emptySince: map[string]occupancy{}}
}

// observe takes over the demand and the empty machines, and renews the preparations.
func (l *outlook) observe(now time.Time, pools map[string]*pool, machines []Machine) {
	var samples []cycle.Sample
	for name, o := range pools {
		samples = append(samples, cycle.Sample{Pool: name, Arrived: o.demand.Arrived,
			InUse: float64(o.demand.Running + o.demand.Waiting)})
	}
	slices.SortFunc(samples, func(a, b cycle.Sample) int { return cmp.Compare(a.Pool, b.Pool) })
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	l.model.Observe(now, samples)
	empty := map[string]occupancy{}
	l.idleCPU, l.idleIn = 0, map[string]float64{}
	for _, m := range machines {
		if !m.Empty {
			continue
		}
		l.idleCPU += float64(m.CPU)
		if m.Off {
			continue
		}
		l.idleIn[m.Pool] += float64(m.CPU)
		x := occupancy{m.Pool, now}
		if former, ok := l.emptySince[m.Name]; ok && former.pool == m.Pool {
			x = former
		}
		empty[m.Name] = x
	}
	l.emptySince = empty
	for name := range pools {
		l.prepare(now, name, l.model.Bursting(name))
	}
}

// prepare renews the preparation of one pool.
func (l *outlook) prepare(now time.Time, name string, bursting bool) {
	former, ok := l.preparations[name]
	switch {
	case bursting && ok && !former.bursting:
		former.start, former.until, former.bursting = now, now.Add(riseTime), true
	case bursting && ok && now.Before(former.until):
	case bursting && ok:
		former.need = 0
		l.preparations[name] = former
		return
	default:
		delete(l.preparations, name)
		if former, ok = l.upcoming(now, name); !ok || bursting {
			return
		}
	}
	former.need = former.height * l.model.Rise(name, now.Add(l.options.Lead+passInterval).Sub(former.start))
	l.preparations[name] = former
}

// upcoming returns the preparation for a burst that is predicted to start within the lead time.
func (l *outlook) upcoming(now time.Time, name string) (preparation, bool) {
	x, ok := l.model.Prediction(name)
	if !ok || now.Before(x.Start.Add(-l.options.Lead-passInterval)) || now.Sub(x.Start) > cycle.MissTolerance {
		return preparation{}, false
	}
	return preparation{height: x.Height, start: x.Start, until: x.Start.Add(cycle.MissTolerance)}, true
}

// forecast bounds a pool's forecast by what is known of its burst.
func (l *outlook) forecast(now time.Time, o *pool, forecast float64) float64 {
	name := o.demand.Pool
	waits := o.demand.Waiting > 0
	switch height := l.model.LearnedHeight(name); {
	case !l.model.Bursting(name):
	case height > 0 && waits:
		forecast = max(min(forecast, maxHeightRatio*height), o.trend.fastRate)
	case height > 0:
		forecast = max(min(forecast, height), o.trend.fastRate)
	case !waits && l.preparations[name].height > 0:
		forecast = max(min(forecast, l.preparations[name].height), o.trend.fastRate)
	case !waits && l.model.FirstCycle() && l.hasRisen(now, name):
		forecast = o.trend.fastRate
	}
	if now.Sub(l.startedAt) < riseTime && l.model.Ongoing(name, now) {
		// A new leader's averages start at 0, also in the middle of a burst.
		forecast = max(forecast, l.model.LearnedHeight(name))
	}
	return forecast
}

// verdict is what the cycle says on the release of a machine.
type verdict int

const (
	unknown verdict = iota
	keep
	release
)

// judge returns whether a pool should release an empty machine, or unknown if nothing is learned that says so.
func (l *outlook) judge(now time.Time, o *pool, m Machine) verdict {
	name := o.demand.Pool
	if o.demand.Waiting > 0 {
		return unknown
	}
	x, predicted := l.model.Prediction(name)
	if predicted && !l.model.Bursting(name) {
		if away := x.Start.Sub(now); away > -cycle.MissTolerance && away <= breakEven {
			return keep
		}
	}
	switch p := l.model.Profile(name); {
	case l.model.Bursting(name) && p.Bursts == 0 && l.model.FirstCycle():
		// Without a known height the rise of the first burst brings machines beyond its height. The next burst may begin
		// while they are on their way to the spare pool, so that the others must be enough for it.
		if idle := l.idleCPU - l.idleIn[name]; l.hasRisen(now, name) && idle >= o.trend.fastRate*(1+l.options.Headroom) {
			return release
		}
		return unknown
	case p.Bursts > 0 && (predicted || l.model.FirstCycle()):
		return release
	case p.Bursts > 0 || !l.model.FirstCycle() || !l.otherHadBurst(name):
		return unknown
	}
	waited := now.Sub(l.emptySince[m.Name].since) >= emptyTime
	// requiredCPU has the rest; the mean load is that of 1 s.
	if !waited && !predicted || float64(o.cpu-m.CPU) < float64(o.demand.Running+o.demand.LongRunning)+o.trend.slowRate {
		return keep
	}
	return release
}

// reserve returns the CPU of empty machines to keep in the first cycle for pools whose burst has begun without a prediction.
func (l *outlook) reserve(now time.Time, pools map[string]*pool) float64 {
	if !l.model.FirstCycle() {
		return 0
	}
	sum := 0.0
	for name, o := range pools {
		p := l.model.Profile(name)
		if _, prepared := l.preparations[name]; prepared || !l.model.Bursting(name) || now.Sub(p.LastStart()) > reserveTime {
			continue
		}
		sum += max(reserveRatio*l.model.TypicalHeight()*(1+l.options.Headroom)-float64(o.cpu), 0)
	}
	return sum
}

// hasRisen reports whether a pool's burst has lasted for riseTime, so that the fast average shows its height.
func (l *outlook) hasRisen(now time.Time, pool string) bool {
	return l.model.Bursting(pool) && now.Sub(l.model.Profile(pool).LastStart()) >= riseTime+l.options.BacklogTime
}

// otherHadBurst reports whether a burst of another pool has ended.
func (l *outlook) otherHadBurst(pool string) bool {
	return slices.ContainsFunc(l.model.Profiles(), func(p cycle.Profile) bool { return p.Pool != pool && p.Bursts > 0 })
}
