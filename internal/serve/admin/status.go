package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
	"github.com/yuccahaven/yuccahaven/internal/plan/budget"
	"github.com/yuccahaven/yuccahaven/internal/plan/spare"
	"github.com/yuccahaven/yuccahaven/internal/sched/ramp"
	"github.com/yuccahaven/yuccahaven/internal/serve/burn"
	"github.com/yuccahaven/yuccahaven/internal/wire/peer"
)

// peerTimeout bounds the wait for the status of the other entry instances. It is also the Retry-After of a failed read
// of the audit records.
const peerTimeout = 2 * time.Second

// EntryStatus is the status that an entry instance reports of itself.
type EntryStatus struct {
	Entry    fleet.EntryID `json:"entry"`
	Revision uint64        `json:"revision"`
	// Fresh is true if the view is confirmed, so that the entry instance may start tasks.
	Fresh bool         `json:"fresh"`
	Teams []TeamLoad   `json:"teams,omitempty"`
	Zones []ZoneLoad   `json:"zones,omitempty"`
	Steps []ZoneReturn `json:"steps,omitempty"`
	// Pools is the entry instance's own demand for each pool.
	Pools []spare.Demand `json:"pools,omitempty"`
	// Findings are the errors in stored sections that don't decode and so are not fully in force.
	Findings []spec.Finding `json:"findings,omitempty"`
}

// TeamLoad is a team's work at one entry instance, in slots.
type TeamLoad struct {
	Team    fleet.TeamName `json:"team"`
	Running int            `json:"running"`
	Waiting int            `json:"waiting"`
	// Granted is the entry instance's part of the team's ceiling.
	Granted int `json:"granted"`
}

// ZoneLoad is the number of an entry instance's tasks that run in an availability zone.
type ZoneLoad struct {
	Zone    fleet.AvailabilityZone `json:"zone"`
	Running int                    `json:"running"`
}

// ZoneReturn is how far an availability zone has come back into service in one pool.
type ZoneReturn struct {
	Pool       fleet.PoolName         `json:"pool"`
	Zone       fleet.AvailabilityZone `json:"zone"`
	Generation uint64                 `json:"generation"`
	// State is StateSettling, StateRamping or StateInService; Percent is how much of the zone's slots may be used.
	State   string `json:"state"`
	Percent int    `json:"percent"`
}

// Status is the state of the fleet as reported by the entry instances.
type Status struct {
	Revision uint64         `json:"revision"`
	Entries  []EntrySummary `json:"entries"`
	Pools    []PoolStatus   `json:"pools"`
	Zones    []ZoneStatus   `json:"zones"`
	Teams    []TeamStatus   `json:"teams"`
}

// EntrySummary is the state of one registered entry instance.
type EntrySummary struct {
	Entry fleet.EntryID          `json:"entry"`
	Zone  fleet.AvailabilityZone `json:"zone"`
	// Reachable is true if the entry instance replied; Revision and Fresh are from its reply.
	Reachable bool   `json:"reachable"`
	Revision  uint64 `json:"revision"`
	Fresh     bool   `json:"fresh"`
	// Findings are the errors in stored sections that don't decode at the entry instance.
	Findings []spec.Finding `json:"findings,omitempty"`
}

// PoolStatus is the state of a pool's membership.
type PoolStatus struct {
	Pool      fleet.PoolName `json:"pool"`
	Min       int            `json:"min"`
	Members   int            `json:"members"`
	Available int            `json:"available"`
	// Lent counts the members that were lent by a spare pool and will return to it.
	Lent int `json:"lent"`
	// Version is the system version being rolled out; Current counts the members that reported it.
	Version string `json:"version,omitempty"`
	Current int    `json:"current"`
	// Changing lists the members that are not active.
	Changing []fleet.PoolMember `json:"changing"`
}

// ZoneStatus is the state of an availability zone.
type ZoneStatus struct {
	Zone       fleet.AvailabilityZone `json:"zone"`
	State      fleet.ZoneState        `json:"state"`
	Generation uint64                 `json:"generation"`
	Running    int                    `json:"running"`
	// Pools are the pools with queues and instances in the zone; the zone has to return into service in each.
	Pools   []fleet.PoolName `json:"pools"`
	Returns []ZoneReturn     `json:"returns"`
}

// The states of a zone's return into service in a pool, as entry instances report them.
const (
	// StateSettling covers both settling and probing, which entry instances can't distinguish.
	StateSettling  = "settling"
	StateRamping   = "ramping"
	StateInService = "in"
)

// rampPercents are the percentages of a zone's slots that may be used, by step (design page, section 4.8).
var rampPercents = []int{0, 10, 25, 50, 75, 100}

// NewZoneReturn converts a ramp step reported by a pool's coordinator.
func NewZoneReturn(p fleet.PoolName, s peer.ZoneStep) ZoneReturn {
	r := ZoneReturn{Pool: p, Zone: s.Zone, Generation: s.Generation, State: StateSettling}
	switch {
	case s.Step >= ramp.StepInService:
		r.State, r.Percent = StateInService, 100
	case s.Step > 0:
		r.State, r.Percent = StateRamping, rampPercents[min(s.Step, len(rampPercents)-1)]
	}
	return r
}

// InService reports whether a zone is in service in all its pools. A zone that was never taken out needs no return.
func (s ZoneStatus) InService() bool {
	if s.State != fleet.ZoneIn {
		return false
	}
	done := map[fleet.PoolName]bool{}
	for _, r := range s.Returns {
		done[r.Pool] = r.State == StateInService
	}
	return s.Generation == 0 || !slices.ContainsFunc(s.Pools, func(p fleet.PoolName) bool { return !done[p] })
}

// TeamStatus is a team's work in the whole fleet, in slots.
type TeamStatus struct {
	Team    fleet.TeamName `json:"team"`
	Share   int            `json:"share"`
	Ceiling int            `json:"ceiling"`
	Running int            `json:"running"`
	Waiting int            `json:"waiting"`
	Granted int            `json:"granted"`
}

// HandleStatus answers another entry instance's request for this one's status and request counts.
func (s *Server) HandleStatus(context.Context, peer.StatusRequest) (peer.StatusReply, error) {
	status, err := json.Marshal(s.Local.EntryStatus())
	if err != nil {
		return peer.StatusReply{}, err
	}
	counts, err := json.Marshal(s.Burn.Counts())
	return peer.StatusReply{From: s.Self(), Status: status, Burn: counts}, err
}

// report is the status and request counts of one member of the view; ok is false if it did not answer or its
// answer does not decode.
type report struct {
	member fleet.Member
	status EntryStatus
	counts burn.Counts
	ok     bool
}

// collectReports requests the reports of all members concurrently; members that don't answer within peerTimeout are
// included with ok false.
func (s *Server) collectReports(ctx context.Context, v fleet.View) []report {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reports := make([]report, len(v.Members()))
	var g errgroup.Group
	for i, m := range v.Members() {
		g.Go(func() error {
			reports[i] = s.requestReport(ctx, m)
			return nil
		})
	}
	_ = g.Wait()
	return reports
}

func (s *Server) requestReport(ctx context.Context, m fleet.Member) report {
	r := report{member: m}
	if m.ID == s.Self() {
		r.status, r.counts, r.ok = s.Local.EntryStatus(), s.Burn.Counts(), true
		return r
	}
	reply, err := s.Peers.Status(ctx, m)
	if err != nil || json.Unmarshal(reply.Status, &r.status) != nil || json.Unmarshal(reply.Burn, &r.counts) != nil {
		return report{member: m}
	}
	r.ok = true
	return r
}

// Demands returns the demand for each pool at each entry instance that answers, for spare.Planner.
func (s *Server) Demands(ctx context.Context) ([]spare.Demand, error) {
	var demands []spare.Demand
	for _, r := range s.collectReports(ctx, s.Viewer.View()) {
		demands = append(demands, r.status.Pools...)
	}
	return demands, ctx.Err()
}

func (s *Server) getStatus(w http.ResponseWriter, q *http.Request, a actor) error {
	if err := a.requireAdmin(); err != nil {
		return err
	}
	v := s.Viewer.View()
	return writeJSON(w, http.StatusOK, summarize(v, s.collectReports(q.Context(), v), s.Failed()))
}

func summarize(v fleet.View, reports []report, failed []fleet.InstanceID) Status {
	s := Status{Revision: v.Revision(), Entries: []EntrySummary{}, Pools: []PoolStatus{}, Zones: []ZoneStatus{},
		Teams: []TeamStatus{}}
	for _, r := range reports {
		s.Entries = append(s.Entries, EntrySummary{Entry: r.member.ID, Zone: r.member.Zone, Reachable: r.ok,
			Revision: r.status.Revision, Fresh: r.status.Fresh, Findings: r.status.Findings})
	}
	for _, p := range v.PoolNames() {
		s.Pools = append(s.Pools, poolStatus(v, p, failed))
	}
	for _, z := range allZones(v) {
		s.Zones = append(s.Zones, zoneStatus(v, z, reports))
	}
	for _, t := range teamsOf(v.Document()) {
		s.Teams = append(s.Teams, teamStatus(v, t, reports))
	}
	return s
}

func poolStatus(v fleet.View, p fleet.PoolName, failed []fleet.InstanceID) PoolStatus {
	section := v.Document().Pools[p]
	s := PoolStatus{Pool: p, Min: section.Min, Version: section.Version, Available: budget.Available(v, p, failed...),
		Changing: []fleet.PoolMember{}}
	for _, m := range v.Pool(p) {
		s.Members++
		if section.Version != "" && m.Version == section.Version {
			s.Current++
		}
		if _, lent := budget.SparePoolOf(v, p, m); lent {
			s.Lent++
		}
		if m.State != fleet.InstanceActive {
			s.Changing = append(s.Changing, m)
		}
	}
	return s
}

func zoneStatus(v fleet.View, z fleet.AvailabilityZone, reports []report) ZoneStatus {
	current := v.Zone(z)
	s := ZoneStatus{Zone: z, State: current.State, Generation: current.Generation, Pools: poolsInZone(v, z),
		Returns: []ZoneReturn{}}
	for _, r := range reports {
		for _, l := range r.status.Zones {
			if l.Zone == z {
				s.Running += l.Running
			}
		}
		for _, step := range r.status.Steps {
			if step.Zone == z && step.Generation == current.Generation {
				s.Returns = mergeReturn(s.Returns, step)
			}
		}
	}
	return s
}

func poolsInZone(v fleet.View, z fleet.AvailabilityZone) []fleet.PoolName {
	pools := []fleet.PoolName{}
	for _, q := range v.Document().Queues {
		in := slices.ContainsFunc(v.Pool(q.Pool), func(m fleet.PoolMember) bool { return m.Zone == z })
		if in && !slices.Contains(pools, q.Pool) {
			pools = append(pools, q.Pool)
		}
	}
	slices.Sort(pools)
	return pools
}

// mergeReturn keeps the least advanced report of each pool, because entry instances observe a step at different times.
func mergeReturn(returns []ZoneReturn, step ZoneReturn) []ZoneReturn {
	for i, r := range returns {
		if r.Pool == step.Pool {
			if step.Percent < r.Percent || r.State == StateInService {
				returns[i] = step
			}
			return returns
		}
	}
	return append(returns, step)
}

func teamStatus(v fleet.View, t fleet.TeamName, reports []report) TeamStatus {
	section := v.Document().Teams[t]
	s := TeamStatus{Team: t, Share: section.Share, Ceiling: section.Ceiling}
	for _, r := range reports {
		for _, l := range r.status.Teams {
			if l.Team == t {
				s.Running += l.Running
				s.Waiting += l.Waiting
				s.Granted += l.Granted
			}
		}
	}
	return s
}
