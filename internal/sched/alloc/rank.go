package alloc

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Rank orders the members for a pool by rendezvous hashing; the first reachable member is the pool's coordinator.
func Rank(members []fleet.Member, p fleet.PoolName) []fleet.Member {
	type scored struct {
		fleet.Member
		score uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		all[i] = scored{m, score(m.ID, p)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	ranked := make([]fleet.Member, len(members))
	for i, s := range all {
		ranked[i] = s.Member
	}
	return ranked
}

func score(id fleet.EntryID, p fleet.PoolName) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + string(p))
}
