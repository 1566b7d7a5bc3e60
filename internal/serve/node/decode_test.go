package node

import (
	"slices"
	"strings"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Guards against a stored section that is skipped without a finding, and against findings that stay after the section
// was repaired or removed.
func TestDecode(t *testing.T) {
	good := fleet.Section{Name: "queue/q", Version: 1, Text: "{team: t, pool: p}"}
	bad := fleet.Section{Name: "team/t", Version: 2, Text: "{ceiling: many}"}
	broken := fleet.Section{Name: "pool/p", Version: 3, Text: "{"}
	if _, err := decode([]fleet.Section{good}); err != nil {
		t.Errorf("a section that refers to others: %v", err)
	}
	doc, err := decode([]fleet.Section{good, bad, broken})
	if err == nil || !strings.Contains(err.Error(), "team/t:1:11") || !strings.Contains(err.Error(), "pool/p:1") {
		t.Errorf("error %v", err)
	}
	if _, ok := doc.Queues["q"]; !ok {
		t.Error("the good section is missing")
	}
	var d findingsCache
	v := fleet.View{}.WithSection(good).WithSection(bad).WithSection(broken)
	var names []string
	for _, f := range d.findings(v) {
		names = append(names, f.Section)
	}
	slices.Sort(names)
	if !slices.Equal(names, []string{"pool/p", "team/t"}) {
		t.Errorf("findings of %v", names)
	}
	v = v.WithSection(fleet.Section{Name: "team/t", Version: 4, Text: "{ceiling: 1}"}).WithoutSection("pool/p")
	if f := d.findings(v); len(f) > 0 {
		t.Errorf("findings %v after the repair", f)
	}
}
