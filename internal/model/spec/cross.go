package spec

import (
	"reflect"

	"gopkg.in/yaml.v3"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// keys decodes a keys section and checks that key ids are unique across the document,
// because a key is looked up by its id alone.
func (d *decoder) keys(section string, n *yaml.Node) fleet.KeysSection {
	var s fleet.KeysSection
	if n.Kind != yaml.MappingNode {
		d.add(place{section, n.Line, n.Column}, "want a mapping of fields, not %s", kindOf(n))
		return s
	}
	d.places[section+" "] = place{section, n.Line, n.Column}
	seen := false
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		switch {
		case k.Value != "keys":
			d.add(place{section, k.Line, k.Column}, "unknown key %q", k.Value)
		case seen:
			d.add(place{section, k.Line, k.Column}, "key %q is given twice", k.Value)
		case v.Kind != yaml.SequenceNode:
			d.add(place{section, v.Line, v.Column}, "keys: want a list, not %s", kindOf(v))
		default:
			seen = true
			for _, e := range v.Content {
				s.Keys = append(s.Keys, d.key(section, e))
			}
		}
	}
	return s
}

func (d *decoder) key(section string, n *yaml.Node) fleet.Key {
	var k fleet.Key
	required := []string{"id", "role", "salt", "hash"}
	at := d.fields(section, n, reflect.ValueOf(&k).Elem())
	if at == nil {
		return k
	}
	for _, f := range required {
		if _, ok := at[f]; !ok {
			d.add(place{section, n.Line, n.Column}, "%s", missing(f))
		}
	}
	checkKey(k, reporter(d, at, required))
	p, ok := at["id"]
	if !ok || p.line < 0 {
		return k
	}
	if first, ok := d.keyIDs[k.ID]; ok {
		d.add(p, "key id %q is also used in %s:%d:%d", k.ID, first.section, first.line, first.column)
		return k
	}
	d.keyIDs[k.ID] = p
	return k
}

// references checks what sections say of each other.
func (d *decoder) references() {
	if len(d.document.Pools) == 0 {
		d.add(place{section: whole}, "the document needs at least one pool")
	}
	for _, name := range sorted(d.document.Queues) {
		q, section := d.document.Queues[name], kindQueue+"/"+string(name)
		if p, ok := d.usable(section, "team"); ok {
			if _, ok := d.document.Teams[q.Team]; !ok {
				d.add(p, "team %q has no section", q.Team)
			}
		}
		if p, ok := d.usable(section, "pool"); ok {
			if _, ok := d.document.Pools[q.Pool]; !ok {
				d.add(p, "pool %q has no section", q.Pool)
			}
		}
	}
	for _, t := range sorted(d.document.Keys) {
		if _, ok := d.document.Teams[t]; !ok {
			d.add(d.places[KeysName(t)+" "], "team %q has no section", t)
		}
	}
}

// usable returns the place of a reference that was decoded.
func (d *decoder) usable(section, field string) (place, bool) {
	p, ok := d.places[section+" "+field]
	return p, ok && p.line > 0
}
