package spec

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// MaxText is the longest accepted text of a section or whole document, in bytes.
const MaxText = 8 << 20

// place is where a value stands.
type place struct {
	section      string
	line, column int
}

// decoder collects the document and the findings.
type decoder struct {
	document fleet.Document
	findings []Finding
	// places are the fields of the sections by "section field", for checks across sections.
	places map[string]place
	keyIDs map[string]place
}

func newDecoder() *decoder {
	return &decoder{
		document: fleet.Document{
			Zones:  map[fleet.AvailabilityZone]fleet.ZoneSection{},
			Pools:  map[fleet.PoolName]fleet.PoolSection{},
			Teams:  map[fleet.TeamName]fleet.TeamSection{},
			Queues: map[fleet.QueueName]fleet.QueueSection{},
			Keys:   map[fleet.TeamName]fleet.KeysSection{},
			Limits: newLimits(),
		},
		places: map[string]place{},
		keyIDs: map[string]place{},
	}
}

func (d *decoder) add(p place, format string, args ...any) {
	d.findings = append(d.findings, Finding{p.section, p.line, p.column, fmt.Sprintf(format, args...)})
}

func (d *decoder) finish() (fleet.Document, []Finding) {
	d.references()
	return d.document, sortFindings(d.findings)
}

// text decodes one section from its text.
func (d *decoder) text(s fleet.Section) {
	if n := d.parse(s.Name, s.Text); n != nil {
		d.section(s.Name, n.Content[0])
	}
}

// parse returns the single YAML document in a text, or nil after recording a finding.
// An empty text is an empty mapping.
func (d *decoder) parse(section, text string) *yaml.Node {
	if len(text) > MaxText {
		d.add(place{section: section}, "text is longer than %d bytes", MaxText)
		return nil
	}
	reader := yaml.NewDecoder(bytes.NewBufferString(text))
	var n, second yaml.Node
	if err := reader.Decode(&n); errors.Is(err, io.EOF) {
		empty := &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: 1, Column: 1}
		return &yaml.Node{Kind: yaml.DocumentNode, Content: []*yaml.Node{empty}}
	} else if err != nil {
		d.syntax(section, err)
		return nil
	}
	if err := reader.Decode(&second); !errors.Is(err, io.EOF) {
		d.add(place{section, second.Line, second.Column}, "text holds more than one YAML document")
		return nil
	}
	return &n
}

var syntaxLine = regexp.MustCompile(`^yaml: (?:line (\d+): )?`)

func (d *decoder) syntax(section string, err error) {
	m := syntaxLine.FindStringSubmatch(err.Error())
	p := place{section: section}
	message := err.Error()
	if m != nil {
		p.line, _ = strconv.Atoi(m[1])
		message = strings.TrimPrefix(message, m[0])
	}
	d.add(p, "syntax: %s", message)
}

// section decodes one section from its node.
func (d *decoder) section(name string, n *yaml.Node) {
	kind, rest, err := Split(name)
	if err != nil {
		d.add(place{name, n.Line, n.Column}, "%v", err)
		return
	}
	switch kind {
	case kindZone:
		d.document.Zones[fleet.AvailabilityZone(rest)] = decodeSection(d, name, n, newZone(), checkZone)
	case kindPool:
		d.document.Pools[fleet.PoolName(rest)] = decodeSection(d, name, n, newPool(), checkPool)
	case kindTeam:
		d.document.Teams[fleet.TeamName(rest)] = decodeSection(d, name, n, newTeam(), checkTeam, "ceiling")
	case kindQueue:
		q := decodeSection(d, name, n, newQueue(), checkQueue, "team", "pool")
		if q.Within == 0 {
			q.Within = q.Timeout
		}
		d.document.Queues[fleet.QueueName(rest)] = q
	case kindKeys:
		d.document.Keys[fleet.TeamName(rest)] = d.keys(name, n)
	case kindLimits:
		d.document.Limits = decodeSection(d, name, n, newLimits(), checkLimits)
	}
}

// decodeSection decodes a mapping into a section that holds its defaults and lets the section check itself.
func decodeSection[T any](d *decoder, name string, n *yaml.Node, s T, check func(T, report), required ...string) T {
	at := d.fields(name, n, reflect.ValueOf(&s).Elem())
	if at == nil {
		return s
	}
	for f, p := range at {
		d.places[name+" "+f] = p
	}
	for _, f := range required {
		if _, ok := at[f]; !ok {
			d.add(place{name, n.Line, n.Column}, "%s", missing(f))
		}
	}
	check(s, reporter(d, at, required))
	return s
}

// reporter returns a report that places problems at their fields.
// A required field that is absent has its own finding, so problems of its zero value are dropped.
func reporter(d *decoder, at map[string]place, required []string) report {
	return func(field, format string, args ...any) {
		p, ok := at[field]
		if !ok {
			for _, f := range required {
				if f == field {
					return
				}
			}
			p = at[""]
		}
		if p.line < 0 {
			return
		}
		d.add(p, format, args...)
	}
}

// fields decodes a mapping into the fields of a struct by their yaml tags and returns where each value stands.
// A field whose value has the wrong type is placed at line -1: its finding is already recorded.
func (d *decoder) fields(section string, n *yaml.Node, s reflect.Value) map[string]place {
	if n.Kind != yaml.MappingNode {
		d.add(place{section, n.Line, n.Column}, "want a mapping of fields, not %s", kindOf(n))
		return nil
	}
	at := map[string]place{"": {section, n.Line, n.Column}}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		p := place{section, k.Line, k.Column}
		field, ok := fieldByTag(s, k.Value)
		if !ok || k.Kind != yaml.ScalarNode {
			d.add(p, "unknown key %q", k.Value)
			continue
		}
		if _, ok := at[k.Value]; ok {
			d.add(p, "key %q is given twice", k.Value)
			continue
		}
		at[k.Value] = place{section, v.Line, v.Column}
		if err := assign(field, v); err != nil {
			d.add(at[k.Value], "%s: %v", k.Value, err)
			at[k.Value] = place{section, -1, -1}
		}
	}
	return at
}

func fieldByTag(s reflect.Value, key string) (reflect.Value, bool) {
	for i := range s.NumField() {
		if s.Type().Field(i).Tag.Get("yaml") == key {
			return s.Field(i), true
		}
	}
	return reflect.Value{}, false
}

var durationType = reflect.TypeFor[time.Duration]()

// assign sets a field from a scalar. The types are checked here because the library truncates 2.5 to the integer 2.
func assign(field reflect.Value, n *yaml.Node) error {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		return fmt.Errorf("want %s, not %s", strings.TrimPrefix(want(field), "!!"), kindOf(n))
	}
	switch {
	case field.Type() == durationType:
		t, err := time.ParseDuration(n.Value)
		if err != nil || n.Tag != "!!str" {
			return fmt.Errorf("want a duration such as 30s, not %q", n.Value)
		}
		field.SetInt(int64(t))
		return nil
	case field.Kind() == reflect.String:
		field.SetString(n.Value)
		return nil
	case n.Tag != want(field) && !(field.Kind() == reflect.Float64 && n.Tag == "!!int"):
		return fmt.Errorf("want %s, not %q", strings.TrimPrefix(want(field), "!!"), n.Value)
	}
	if err := n.Decode(field.Addr().Interface()); err != nil {
		return fmt.Errorf("%q does not fit", n.Value)
	}
	return nil
}

func want(field reflect.Value) string {
	switch {
	case field.Type() == durationType:
		return "a duration"
	case field.Kind() == reflect.Bool:
		return "!!bool"
	case field.Kind() == reflect.Float64:
		return "!!float"
	case field.CanInt():
		return "!!int"
	}
	return "text"
}

func kindOf(n *yaml.Node) string {
	switch {
	case n.Kind == yaml.MappingNode:
		return "a mapping"
	case n.Kind == yaml.SequenceNode:
		return "a list"
	case n.Kind == yaml.AliasNode:
		return "an alias"
	case n.Tag == "!!null":
		return "nothing"
	}
	return strconv.Quote(n.Value)
}
