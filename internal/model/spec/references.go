package spec

import (
	"reflect"

	"gopkg.in/yaml.v3"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// decodeKeys decodes a keys section and checks that key ids are unique in the whole document, because keys are looked
// up by id alone.
func (d *decoder) decodeKeys(section string, n *yaml.Node) fleet.KeysSection {
	var s fleet.KeysSection
	if n.Kind != yaml.MappingNode {
		d.addFinding(position{section, n.Line, n.Column}, "want a mapping of fields, not %s", describeNode(n))
		return s
	}
	d.positions[section+" "] = position{section, n.Line, n.Column}
	seen := false
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		switch {
		case k.Value != "keys":
			d.addFinding(position{section, k.Line, k.Column}, "unknown key %q", k.Value)
		case seen:
			d.addFinding(position{section, k.Line, k.Column}, "key %q is given twice", k.Value)
		case v.Kind != yaml.SequenceNode:
			d.addFinding(position{section, v.Line, v.Column}, "keys: want a list, not %s", describeNode(v))
		default:
			seen = true
			for _, e := range v.Content {
				s.Keys = append(s.Keys, d.decodeKey(section, e))
			}
		}
	}
	return s
}

func (d *decoder) decodeKey(section string, n *yaml.Node) fleet.Key {
	var k fleet.Key
	required := []string{"id", "role", "salt", "hash"}
	fieldPositions := d.decodeFields(section, n, reflect.ValueOf(&k).Elem())
	if fieldPositions == nil {
		return k
	}
	for _, f := range required {
		if _, ok := fieldPositions[f]; !ok {
			d.addFinding(position{section, n.Line, n.Column}, "%s", missingMessage(f))
		}
	}
	checkKey(k, reporter(d, fieldPositions, required))
	p, ok := fieldPositions["id"]
	if !ok || p.line < 0 {
		return k
	}
	if first, ok := d.keyPositions[k.ID]; ok {
		d.addFinding(p, "key id %q is also used in %s:%d:%d", k.ID, first.section, first.line, first.column)
		return k
	}
	d.keyPositions[k.ID] = p
	return k
}

// checkReferences checks the references between sections and that there is at least one pool.
func (d *decoder) checkReferences() {
	if len(d.document.Pools) == 0 {
		d.addFinding(position{section: wholeDocument}, "the document needs at least one pool")
	}
	for _, name := range sorted(d.document.Queues) {
		q, section := d.document.Queues[name], kindQueue+"/"+string(name)
		if p, ok := d.decodedReference(section, "team"); ok {
			if _, ok := d.document.Teams[q.Team]; !ok {
				d.addFinding(p, "team %q has no section", q.Team)
			}
		}
		if p, ok := d.decodedReference(section, "pool"); ok {
			if _, ok := d.document.Pools[q.Pool]; !ok {
				d.addFinding(p, "pool %q has no section", q.Pool)
			}
		}
	}
	for _, t := range sorted(d.document.Keys) {
		if _, ok := d.document.Teams[t]; !ok {
			d.addFinding(d.positions[KeysName(t)+" "], "team %q has no section", t)
		}
	}
}

// decodedReference returns the position of a reference field, and false if it is absent or has the wrong type.
func (d *decoder) decodedReference(section, field string) (position, bool) {
	p, ok := d.positions[section+" "+field]
	return p, ok && p.line > 0
}
