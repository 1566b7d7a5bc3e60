package alloc

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Rank orders the members for a pool by rendezvous hashing; the first reachable one is the pool's coordinator.
func Rank(members []fleet.Member, p fleet.PoolName) []fleet.Member {
	ranked := slices.Clone(members)
	slices.SortStableFunc(ranked, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(score(b.ID, p), score(a.ID, p)), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

func score(id fleet.EntryID, p fleet.PoolName) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + string(p))
}
