package grant

import (
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// FuzzRecord guards against a grant record that ends the process of each entry instance, as one with a negative turn did.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"holdings":[{"entry":"a.1","held":3,"want":5,"unit":2},{"entry":"x.1","held":1}],"turn":1}`), 10, 2, 3, 1)
	f.Add([]byte(`{"turn":-1}`), 1, 0, 1, 1)
	f.Add([]byte(`{"turn":9223372036854775807}`), 1, 0, 1, 1)
	f.Add([]byte(`{"holdings":[{"entry":"b.1","held":-9223372036854775808,"unit":-1}]}`), 4, 1, 4, 0)
	f.Fuzz(func(_ *testing.T, b []byte, ceiling, used, waiting, unit int) {
		r, err := decode[record](storedItems{"grant/t": table.Item{Key: "grant/t", Value: b}}, "grant/t")
		// Ceilings, uses and waits come from checked documents and from this process.
		if err != nil || min(ceiling, used, waiting, unit) < 0 || max(ceiling, used, waiting, unit) > 1000 {
			return
		}
		for _, joining := range []bool{false, true} {
			plan(teamState{self: "a.1", members: []fleet.EntryID{"a.1", "b.1", "c.1"}, ceiling: ceiling, record: r, used: used,
				waiting: waiting, unit: unit, joining: joining})
		}
	})
}
