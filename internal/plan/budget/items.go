package budget

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

const poolPrefix = "view/pool/"

// poolItem returns the item that replaces a pool's membership.
func poolItem(p fleet.PoolName, members []fleet.PoolMember) fleet.Item {
	slices.SortFunc(members, func(a, b fleet.PoolMember) int { return cmp.Compare(a.ID, b.ID) })
	b, err := json.Marshal(members)
	if err != nil {
		panic(err) // a PoolMember holds strings and integers only
	}
	return fleet.Item{Key: poolPrefix + string(p), Value: b}
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
