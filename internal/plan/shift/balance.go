package shift

import (
	"cmp"
	"slices"
)

// minBalanceRatio is how many times better supplied than the recipient a pool must be after it has given away a machine
// that is not empty. Such a move costs the time that the machine takes to drain and to move.
const minBalanceRatio = 3

// supply returns the share of a required CPU that a pool has, with a change of the latter.
func (p *pool) supply(change int64, required float64) float64 {
	return float64(p.cpu+change) / max(required, 1)
}

// balance moves machines that are not empty from the best supplied pool to the worst supplied one, once they are empty,
// those that drain first. A pool with a backlog has no empty machines and needs all that it has: without this it would
// keep them while another pool with the same demand has hardly any.
func balance(pools map[string]*pool, machines []Machine) []Move {
	drainable := slices.DeleteFunc(slices.Clone(machines), func(m Machine) bool { return !m.Drainable || pools[m.Pool] == nil })
	slices.SortFunc(drainable, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.DrainTime, b.DrainTime), cmp.Compare(a.Name, b.Name))
	})
	var moves []Move
	for len(drainable) > 0 {
		i := bestDonation(pools, drainable)
		if i < 0 {
			break
		}
		m := drainable[i]
		from, to := pools[m.Pool], worstSupplied(pools, m)
		from.machines--
		from.cpu -= m.CPU
		to.machines++
		to.cpu += m.CPU
		moves = append(moves, Move{m.Name, m.Pool, to.demand.Pool})
		drainable = slices.Delete(drainable, i, i+1)
	}
	return moves
}

// bestDonation returns the index of the machine of the best supplied pool that should move to the worst supplied pool,
// or -1 if there is none.
func bestDonation(pools map[string]*pool, drainable []Machine) int {
	best, bestSupply := -1, 0.0
	considered := map[string]bool{}
	for i, m := range drainable {
		from := pools[m.Pool]
		if considered[m.Pool] || from.machines <= from.minMachines {
			continue
		}
		to := worstSupplied(pools, m)
		if to == nil {
			continue
		}
		// The other machines of the pool drain later.
		considered[m.Pool] = true
		if s := from.supply(-m.CPU, from.requiredCPU); s >= minBalanceRatio*to.supply(m.CPU, to.wantedCPU) && s > bestSupply {
			best, bestSupply = i, s
		}
	}
	return best
}

// worstSupplied returns the pool with the least supply among those that lack a machine, or nil.
func worstSupplied(pools map[string]*pool, m Machine) *pool {
	var worst *pool
	for _, o := range pools {
		if !o.lacks(m) {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(o.supply(0, o.wantedCPU), worst.supply(0, worst.wantedCPU)),
			cmp.Compare(o.demand.Pool, worst.demand.Pool)) < 0 {
			worst = o
		}
	}
	return worst
}
