package detect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxSuccessors and MaxWitnesses bound the instances that a leader designates.
	MaxSuccessors = 3
	MaxWitnesses  = 7
	// MaxAsked is the largest number of peers that one check asks; with the probe of the leader it makes 10 calls.
	MaxAsked = MaxWitnesses + MaxSuccessors - 1
	// delayStep is the difference from which election delays count as different. They follow the measured speed of the
	// processes, and successors that change with each measurement would never know each other.
	delayStep = 100 * time.Millisecond
)

// Candidate is a peer that can be designated.
type Candidate struct {
	Name, Address, Zone string
	ElectionDelay       time.Duration
}

// Designate returns the successors of the leader in a zone, by rank, and the witnesses: other peers, spread across zones.
func Designate(zone string, peers []Candidate) (successors, witnesses []Candidate) {
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.ElectionDelay/delayStep, b.ElectionDelay/delayStep),
			cmp.Compare(same(a.Zone, zone), same(b.Zone, zone)), cmp.Compare(a.Name, b.Name))
	})
	successors = peers[:min(MaxSuccessors, len(peers))]
	return successors, spread(peers[len(successors):])
}

// same returns 1 if two zones are the same, else 0.
func same(a, b string) int {
	if a == b {
		return 1
	}
	return 0
}

// spread returns up to MaxWitnesses of the candidates, each time the next one by name of the zone with the fewest so far.
func spread(candidates []Candidate) []Candidate {
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, func(a, b Candidate) int { return cmp.Compare(a.Name, b.Name) })
	chosen := map[string]int{}
	var list []Candidate
	for len(candidates) > 0 && len(list) < MaxWitnesses {
		next := 0
		for i, c := range candidates {
			if chosen[c.Zone] < chosen[candidates[next].Zone] {
				next = i
			}
		}
		chosen[candidates[next].Zone]++
		list = append(list, candidates[next])
		candidates = slices.Delete(candidates, next, next+1)
	}
	return list
}
