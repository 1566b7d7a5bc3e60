package budget

import (
	"cmp"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

// poolItem returns the item that replaces a pool's membership, sorted so that equal memberships encode equally.
func poolItem(p fleet.PoolName, members []fleet.PoolMember) fleet.Item {
	slices.SortFunc(members, func(a, b fleet.PoolMember) int { return cmp.Compare(a.ID, b.ID) })
	return view.PoolItem(p, members)
}

func replace(v fleet.View, p fleet.PoolName, m fleet.PoolMember) []fleet.Item {
	return []fleet.Item{poolItem(p, with(v.Pool(p), m))}
}

func with(members []fleet.PoolMember, m fleet.PoolMember) []fleet.PoolMember {
	return append(without(members, m.ID), m)
}

func without(members []fleet.PoolMember, id fleet.InstanceID) []fleet.PoolMember {
	return slices.DeleteFunc(members, func(m fleet.PoolMember) bool { return m.ID == id })
}
