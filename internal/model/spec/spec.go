// Package spec decodes and validates the sections of the configuration document.
//
// Every problem is collected as a Finding with its position, so that operators see all of them at once.
package spec

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Finding is a problem in a section; Line and Column start at 1 and are 0 where unknown.
type Finding struct {
	Section string `json:"section"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

// String returns "section:line:column: message".
func (f Finding) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.Section, f.Line, f.Column, f.Message)
}

// Decode decodes sections and checks each section and the references between them. The document is usable only if there
// are no findings.
func Decode(sections []fleet.Section) (fleet.Document, []Finding) {
	d := newDecoder()
	for _, s := range sections {
		d.decodeText(s)
	}
	return d.finish()
}

// DecodeSection decodes one section without the rest of the document and doesn't check references to other sections.
func DecodeSection(s fleet.Section) (fleet.Document, []Finding) {
	d := newDecoder()
	d.decodeText(s)
	return d.document, sortFindings(d.findings)
}

// Check decodes the view's document with one section added or replaced.
func Check(v fleet.View, changed fleet.Section) (fleet.Document, []Finding) {
	return Decode(v.WithSection(changed).Sections())
}

// CheckWithout decodes the view's document with one section removed. Removing a pool that still has instances is a
// finding, because these would belong to no pool.
func CheckWithout(v fleet.View, name string) (fleet.Document, []Finding) {
	d, findings := Decode(v.WithoutSection(name).Sections())
	return d, append(findings, CheckRemovedPools(v, d)...)
}

// CheckRemovedPools returns a finding for each pool that has instances in the view but no section in the document.
func CheckRemovedPools(v fleet.View, d fleet.Document) []Finding {
	var findings []Finding
	for _, p := range v.PoolNames() {
		if _, ok := d.Pools[p]; !ok && len(v.Pool(p)) > 0 {
			findings = append(findings, Finding{Section: kindPool + "/" + string(p),
				Message: fmt.Sprintf("the pool still has %d instances; move them first", len(v.Pool(p)))})
		}
	}
	return findings
}

func sortFindings(findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Message, b.Message))
	})
	return slices.Compact(findings)
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
