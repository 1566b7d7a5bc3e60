package view

import (
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
)

// FuzzApply guards against a stored item of the view that ends the process of each entry instance.
func FuzzApply(f *testing.F) {
	f.Add("view/section/zone/a", []byte(`{"name":"zone/a","text":"state: out\n","version":3}`))
	f.Add("view/member/a.1", []byte(`{"id":"a.1","address":"x:1"}`))
	f.Add("view/pool/p", []byte(`[{"id":"w1","zone":"a"},{}]`))
	f.Add("view/zone/a", []byte(`{"state":"out","generation":2}`))
	f.Add("view/pool/p", []byte(`null`))
	f.Fuzz(func(_ *testing.T, key string, value []byte) {
		items := []fleet.Item{{Key: key, Value: value}, {Key: key}}
		s, _ := apply(snapshot{}, fleet.Delta{Revision: 1, Items: items[:1]}, func(list []fleet.Section) (fleet.Document, error) {
			d, _ := spec.Decode(list)
			return d, nil
		})
		_, _ = stamp(s.view, items, 2)
	})
}
