package leader

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/yuccahaven/yuccahaven/internal/plan/shift"
	"github.com/yuccahaven/yuccahaven/internal/sched/engine"
	"github.com/yuccahaven/yuccahaven/internal/sched/expect"
)

// Report is what the leader shows operators of its work.
type Report struct {
	Term int64 `json:"term"`
	// AuthorityMS is for how many milliseconds the leader may still send commands without a confirmation.
	AuthorityMS int64 `json:"authority"`
	// Peers are the instances that send heartbeats, one each HeartbeatMS milliseconds.
	Peers       int           `json:"peers"`
	HeartbeatMS int64         `json:"heartbeat"`
	Relays      []RelayReport `json:"relays"`
	// Direct counts the workers that get their orders from the leader itself.
	Direct int          `json:"direct"`
	Pools  []PoolReport `json:"pools"`
	// CPUInUse is the share of the CPU of machines in pools that tasks use, CycleConfidence the confidence of predicted
	// bursts, both in thousandths.
	CPUInUse        int64        `json:"cpuInUse"`
	CycleConfidence int64        `json:"cycleConfidence"`
	Load            engine.Load  `json:"load"`
	Starts          StartsReport `json:"starts"`
	// RunTimeErrors is the accuracy of expected run times; the zero value unless they are learned.
	RunTimeErrors RunTimeErrors `json:"runTimeErrors,omitzero"`
}

// RunTimeErrors are the mean absolute logarithms of the ratio of actual to expected run times, in thousandths, by the declared
// times, by a straight line over these, and by the model in use.
type RunTimeErrors struct {
	Declared int64 `json:"declared"`
	Line     int64 `json:"line"`
	Model    int64 `json:"model"`
}

func newRunTimeErrors(e expect.Errors) RunTimeErrors {
	declared, line, model := e.Means()
	thousandths := func(f float64) int64 { return int64(math.Round(1000 * f)) }
	return RunTimeErrors{thousandths(declared), thousandths(line), thousandths(model)}
}

// RelayReport is a relay with the workers that it carries.
type RelayReport struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Workers int    `json:"workers"`
	// Up means that it takes orders; Outstanding counts those without an outcome.
	Up          bool `json:"up"`
	Outstanding int  `json:"outstanding"`
}

// PoolReport is a pool with its machines; CPU is in cores.
type PoolReport struct {
	Pool     string  `json:"pool"`
	Machines int     `json:"machines"`
	CPU      float64 `json:"cpu"`
	Required float64 `json:"required"`
	Bursting bool    `json:"bursting"`
}

// StartsReport tells how long jobs waited for their first start, in milliseconds, among recent ones.
type StartsReport struct {
	MedianMS float64 `json:"median"`
	P95MS    float64 `json:"p95"`
}

// Report returns what this process does as the leader, or false if it does not lead or still loads the stored state.
func (s *Service) Report() (Report, bool) {
	ss := s.current()
	if ss == nil {
		return Report{}, false
	}
	r := Report{Term: ss.leadership.Term(), AuthorityMS: max(ss.authorityLeft(), 0).Milliseconds(), Relays: []RelayReport{},
		Pools: []PoolReport{}}
	s.mu.Lock()
	r.Peers, r.HeartbeatMS = len(s.heartbeats), s.interval().Milliseconds()
	zones := map[string]string{}
	for name, h := range s.heartbeats {
		zones[name] = h.zone
	}
	s.mu.Unlock()
	ss.reportRelays(&r, zones)
	ss.mu.Lock()
	r.Load = ss.scheduler.Load()
	r.RunTimeErrors = newRunTimeErrors(ss.scheduler.RunTimeErrors())
	var inUse, cpu int64
	r.CycleConfidence = ss.cycles.confidence()
	for _, p := range ss.pools {
		inUse, cpu = inUse+p.InUse, cpu+p.CPU
		r.Pools = append(r.Pools, PoolReport{Pool: p.Pool, Machines: p.Machines, CPU: cores(p.CPU), Required: cores(p.RequiredCPU),
			Bursting: p.Bursting})
	}
	r.CPUInUse = 1000 * inUse / max(cpu, 1)
	ss.mu.Unlock()
	slices.SortFunc(r.Pools, func(a, b PoolReport) int { return cmp.Compare(a.Pool, b.Pool) })
	delays := s.startDelay.Snapshot().Percentiles([]float64{0.5, 0.95})
	r.Starts = StartsReport{MedianMS: delays[0], P95MS: delays[1]}
	return r, true
}

func cores(thousandths int64) float64 { return float64(thousandths) / 1000 }

func (s *session) reportRelays(r *Report, zones map[string]string) {
	s.mu.Lock()
	workers := len(s.scheduler.Workers())
	s.mu.Unlock()
	r.Direct = workers
	relayOf, pool := s.relayOf.Load(), s.relays.Load()
	if relayOf == nil || pool == nil {
		return
	}
	carried := map[string]int{}
	for _, name := range *relayOf {
		carried[name]++
	}
	r.Direct = max(workers-len(*relayOf), 0)
	states := pool.States()
	for _, name := range slices.Sorted(maps.Keys(states)) {
		r.Relays = append(r.Relays, RelayReport{Name: name, Zone: zones[name], Workers: carried[name], Up: states[name].Up,
			Outstanding: states[name].Outstanding})
	}
}

// gauges are the leader's gauges; they are 0 while this process does not lead.
type gauges struct {
	term, authority, relays, relayed, direct, unfinished, runs, outstanding, unresponsive, logRows, contended, cpuInUse,
	confidence metrics.Gauge
	errorDeclared, errorLine, errorModel metrics.Gauge
	prepared                             metrics.Counter
}

func newGauges(r metrics.Registry) gauges {
	g := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge(name, r) }
	return gauges{term: g("leader_term"), authority: g("leader_authority_ms"), relays: g("leader_relays"),
		relayed: g("leader_relayed_workers"), direct: g("leader_direct_workers"), unfinished: g("leader_unfinished_jobs"),
		runs: g("leader_runs"), outstanding: g("leader_outstanding_starts"), unresponsive: g("leader_unresponsive_workers"),
		logRows: g("leader_log_rows"), errorDeclared: g("run_time_error_declared"), errorLine: g("run_time_error_line"),
		errorModel: g("run_time_error_model"), contended: g(contendedPools), cpuInUse: g("pool_cpu_in_use"),
		confidence: g("cycle_confidence"), prepared: metrics.GetOrRegisterCounter("machines_prepared", r)}
}

// set sets the gauges to a report; the zero Report stands for a process that does not lead.
func (g gauges) set(r Report) {
	relayed := 0
	for _, x := range r.Relays {
		relayed += x.Workers
	}
	g.term.Update(r.Term)
	g.authority.Update(r.AuthorityMS)
	g.relays.Update(int64(len(r.Relays)))
	g.relayed.Update(int64(relayed))
	g.direct.Update(int64(r.Direct))
	g.unfinished.Update(int64(r.Load.Unfinished))
	g.runs.Update(int64(r.Load.Runs))
	g.outstanding.Update(int64(r.Load.OutstandingStarts))
	g.unresponsive.Update(int64(r.Load.Unresponsive))
	g.errorDeclared.Update(r.RunTimeErrors.Declared)
	g.errorLine.Update(r.RunTimeErrors.Line)
	g.errorModel.Update(r.RunTimeErrors.Model)
	g.cpuInUse.Update(r.CPUInUse)
	g.confidence.Update(r.CycleConfidence)
	if r.Term == 0 {
		g.contended.Update(0)
		g.logRows.Update(0)
	}
}

// UpdateMetrics sets the leader's gauges; it is called when metrics are read.
func (s *Service) UpdateMetrics() {
	r, _ := s.Report()
	s.gauges.set(r)
}

// observeStarts records how long jobs waited for their first start.
func (s *session) observeStarts(delays []time.Duration) {
	for _, d := range delays {
		s.service.startDelay.Update(d.Milliseconds())
	}
}

// keepPools keeps the state of the pools for reports; s.mu must be held.
func (s *session) keepPools(reports []shift.Report) { s.pools = append(s.pools[:0], reports...) }
