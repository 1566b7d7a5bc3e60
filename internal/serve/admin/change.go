package admin

import (
	"cmp"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
	"github.com/yuccahaven/yuccahaven/internal/plan/budget"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
)

// change is the sections that an edit writes and removes.
type change struct {
	written []fleet.Section
	removed []string
}

// items checks a change against a view and the actor's rights and returns its items, or the rejection or the findings
// as an error. Written sections with unchanged text are left out, so that they keep their versions, except in a change
// without effect (see documentItems).
func (s *Server) items(v fleet.View, a actor, c change) ([]fleet.Item, error) {
	before := v.Document()
	for _, name := range c.names() {
		if err := a.authorizeAccess(before, name); err != nil {
			return nil, err
		}
	}
	after, findings := c.check(v)
	if len(findings) == 0 {
		findings = s.checkBudgets(v, after)
	}
	if len(findings) > 0 {
		return nil, findingsError(findings)
	}
	for _, name := range c.names() {
		if err := a.authorizeResult(before, after, name); err != nil {
			return nil, err
		}
	}
	return c.documentItems(v, after), nil
}

func (c change) names() []string {
	names := slices.Clone(c.removed)
	for _, s := range c.written {
		names = append(names, s.Name)
	}
	return names
}

func (c change) check(v fleet.View) (fleet.Document, []spec.Finding) {
	after := v
	for _, name := range c.removed {
		after = after.WithoutSection(name)
	}
	for _, s := range c.written {
		after = after.WithSection(s)
	}
	d, findings := spec.Decode(after.Sections())
	return d, append(findings, spec.CheckRemovedPools(v, d)...)
}

// checkBudgets checks the pools' budgets for each zone that the new document takes out of service, on top of the zones
// before it. Zones that it returns to service don't count yet, because their workers come back in steps.
func (s *Server) checkBudgets(v fleet.View, d fleet.Document) []spec.Finding {
	failed := s.Failed()
	var findings []spec.Finding
	for _, z := range zonesOf(d) {
		if d.Zones[z].State != fleet.ZoneOut || v.Zone(z).State == fleet.ZoneOut {
			continue
		}
		section := fleet.Section{Name: "zone/" + string(z)}
		findings = append(findings, budget.CheckZone(v, section, d, failed...)...)
		v = v.WithZone(z, fleet.ZoneStatus{State: fleet.ZoneOut})
	}
	return findings
}

// documentItems returns the items of a change. A change without effect writes its first section again, because it may
// retry an edit that was not confirmed, and only a new revision can be confirmed.
func (c change) documentItems(v fleet.View, after fleet.Document) []fleet.Item {
	var items []fleet.Item
	for _, s := range c.written {
		if current, ok := v.Section(s.Name); ok && current.Text == s.Text {
			continue
		}
		items = append(items, view.SectionItem(s))
		items = append(items, zoneItems(v, after, s.Name)...)
	}
	for _, name := range c.removed {
		items = append(items, view.SectionRemoval(name))
		items = append(items, zoneItems(v, after, name)...)
	}
	if len(items) == 0 && len(c.written) > 0 {
		items = append(items, view.SectionItem(c.written[0]))
	}
	slices.SortStableFunc(items, func(a, b fleet.Item) int { return cmp.Compare(a.Key, b.Key) })
	return items
}

// zoneItems returns the item with a zone's new state if the section is a zone's and the edit changes the state; a zone
// without a section is in service.
func zoneItems(v fleet.View, after fleet.Document, section string) []fleet.Item {
	z, ok := spec.ZoneName(section)
	if !ok {
		return nil
	}
	state := fleet.ZoneIn
	if s, ok := after.Zones[z]; ok {
		state = s.State
	}
	if v.Zone(z).State == state {
		return nil
	}
	return []fleet.Item{view.ZoneItem(z, fleet.ZoneStatus{State: state})}
}
