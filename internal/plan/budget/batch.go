package budget

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

// Step is one change of the view.
type Step func(fleet.View) ([]fleet.Item, error)

// Batch combines steps into one transaction. Each step sees the changes of earlier steps; a rejected step doesn't
// affect the others. The rejections are returned only if no step changes anything.
func Batch(v fleet.View, steps ...Step) ([]fleet.Item, error) {
	indexes := map[string]int{}
	var items []fleet.Item
	var rejections []error
	for _, step := range steps {
		changed, err := step(v)
		if err != nil {
			rejections = append(rejections, err)
			continue
		}
		if v, err = Apply(v, changed); err != nil {
			return nil, err
		}
		for _, i := range changed {
			if n, ok := indexes[i.Key]; ok {
				items[n] = i
				continue
			}
			indexes[i.Key] = len(items)
			items = append(items, i)
		}
	}
	if len(items) == 0 {
		return nil, errors.Join(rejections...)
	}
	return items, nil
}

// Apply returns the view with the pool items of this package applied and its revision unchanged.
func Apply(v fleet.View, items []fleet.Item) (fleet.View, error) {
	prefix := view.PoolItem("", nil).Key
	for _, i := range items {
		name, ok := strings.CutPrefix(i.Key, prefix)
		if !ok {
			return v, fmt.Errorf("budget: key of item %q has no pool prefix", i.Key)
		}
		var members []fleet.PoolMember
		if err := json.Unmarshal(i.Value, &members); err != nil {
			return v, fmt.Errorf("budget: decoding item %q: %w", i.Key, err)
		}
		v = v.WithPool(fleet.PoolName(name), members)
	}
	return v, nil
}
