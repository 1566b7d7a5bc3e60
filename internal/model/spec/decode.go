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
	"unicode/utf8"

	"gopkg.in/yaml.v3"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// MaxTextBytes is the maximum size of the text of a section or whole document, in bytes.
const MaxTextBytes = 8 << 20

// position is the position of a value in the text of a section.
type position struct {
	section      string
	line, column int
}

// decoder builds the document and collects the findings.
type decoder struct {
	document fleet.Document
	findings []Finding
	// positions holds the positions of the sections' fields by "section field", for checks across sections; an empty
	// field name stands for the section itself.
	positions map[string]position
	// keyPositions holds the position of each key id.
	keyPositions map[string]position
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
		positions:    map[string]position{},
		keyPositions: map[string]position{},
	}
}

func (d *decoder) addFinding(p position, format string, args ...any) {
	d.findings = append(d.findings, Finding{p.section, p.line, p.column, fmt.Sprintf(format, args...)})
}

func (d *decoder) finish() (fleet.Document, []Finding) {
	d.checkReferences()
	return d.document, sortFindings(d.findings)
}

// decodeText parses and decodes the text of one section.
func (d *decoder) decodeText(s fleet.Section) {
	if n := d.parse(s.Name, s.Text); n != nil {
		d.decodeNode(s.Name, n.Content[0])
	}
}

// parse returns the single YAML document of a text, or nil after adding a finding. An empty text is an empty mapping.
func (d *decoder) parse(section, text string) *yaml.Node {
	if len(text) > MaxTextBytes {
		d.addFinding(position{section: section}, "text is longer than %d bytes", MaxTextBytes)
		return nil
	}
	if !utf8.ValidString(text) {
		// YAML allows UTF-16, which would not survive the stored JSON.
		d.addFinding(position{section: section}, "text is not UTF-8")
		return nil
	}
	dec := yaml.NewDecoder(bytes.NewBufferString(text))
	var n, second yaml.Node
	if err := dec.Decode(&n); errors.Is(err, io.EOF) {
		empty := &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: 1, Column: 1}
		return &yaml.Node{Kind: yaml.DocumentNode, Content: []*yaml.Node{empty}}
	} else if err != nil {
		d.addSyntaxError(section, err)
		return nil
	}
	if err := dec.Decode(&second); !errors.Is(err, io.EOF) {
		d.addFinding(position{section, second.Line, second.Column}, "text holds more than one YAML document")
		return nil
	}
	return &n
}

var syntaxLine = regexp.MustCompile(`^yaml: (?:line (\d+): )?`)

func (d *decoder) addSyntaxError(section string, err error) {
	m := syntaxLine.FindStringSubmatch(err.Error())
	p := position{section: section}
	message := err.Error()
	if m != nil {
		p.line, _ = strconv.Atoi(m[1])
		message = strings.TrimPrefix(message, m[0])
	}
	d.addFinding(p, "syntax: %s", message)
}

// decodeNode decodes the node of one section.
func (d *decoder) decodeNode(name string, n *yaml.Node) {
	kind, id, err := Split(name)
	if err != nil {
		d.addFinding(position{name, n.Line, n.Column}, "%v", err)
		return
	}
	switch kind {
	case kindZone:
		d.document.Zones[fleet.AvailabilityZone(id)] = decodeSection(d, name, n, newZone(), checkZone)
	case kindPool:
		d.document.Pools[fleet.PoolName(id)] = decodeSection(d, name, n, newPool(), checkPool)
	case kindTeam:
		d.document.Teams[fleet.TeamName(id)] = decodeSection(d, name, n, newTeam(), checkTeam, "ceiling")
	case kindQueue:
		q := decodeSection(d, name, n, newQueue(), checkQueue, "team", "pool")
		if q.Within == 0 {
			q.Within = q.Timeout
		}
		d.document.Queues[fleet.QueueName(id)] = q
	case kindKeys:
		d.document.Keys[fleet.TeamName(id)] = d.decodeKeys(name, n)
	case kindLimits:
		d.document.Limits = decodeSection(d, name, n, newLimits(), checkLimits)
	}
}

// decodeSection decodes a mapping into a section s that holds the defaults, and validates it with check.
func decodeSection[T any](d *decoder, name string, n *yaml.Node, s T, check func(T, report), required ...string) T {
	fieldPositions := d.decodeFields(name, n, reflect.ValueOf(&s).Elem())
	if fieldPositions == nil {
		return s
	}
	for f, p := range fieldPositions {
		d.positions[name+" "+f] = p
	}
	for _, f := range required {
		if _, ok := fieldPositions[f]; !ok {
			d.addFinding(position{name, n.Line, n.Column}, "%s", missingMessage(f))
		}
	}
	check(s, reporter(d, fieldPositions, required))
	return s
}

// reporter returns a report that adds findings at the positions of their fields. Problems of required fields that
// are absent and of fields that have the wrong type are dropped, because that is already a finding.
func reporter(d *decoder, fieldPositions map[string]position, required []string) report {
	return func(field, format string, args ...any) {
		p, ok := fieldPositions[field]
		if !ok {
			for _, f := range required {
				if f == field {
					return
				}
			}
			p = fieldPositions[""]
		}
		if p.line < 0 {
			return
		}
		d.addFinding(p, format, args...)
	}
}

// decodeFields decodes a mapping into the fields of a struct by their yaml tags and returns the position of each value,
// or nil if the node isn't a mapping. The mapping itself has the key "". A field whose value has the wrong type gets
// line -1, because its finding has already been added.
func (d *decoder) decodeFields(section string, n *yaml.Node, s reflect.Value) map[string]position {
	if n.Kind != yaml.MappingNode {
		d.addFinding(position{section, n.Line, n.Column}, "want a mapping of fields, not %s", describeNode(n))
		return nil
	}
	fieldPositions := map[string]position{"": {section, n.Line, n.Column}}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		p := position{section, k.Line, k.Column}
		field, ok := fieldByTag(s, k.Value)
		if !ok || k.Kind != yaml.ScalarNode {
			d.addFinding(p, "unknown key %q", k.Value)
			continue
		}
		if _, ok := fieldPositions[k.Value]; ok {
			d.addFinding(p, "key %q is given twice", k.Value)
			continue
		}
		fieldPositions[k.Value] = position{section, v.Line, v.Column}
		if err := assign(field, v); err != nil {
			d.addFinding(fieldPositions[k.Value], "%s: %v", k.Value, err)
			fieldPositions[k.Value] = position{section, -1, -1}
		}
	}
	return fieldPositions
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

// assign sets a field from a scalar. It checks the type, because the YAML library truncates 2.5 to the integer 2.
func assign(field reflect.Value, n *yaml.Node) error {
	if n.Kind != yaml.ScalarNode || n.Tag == "!!null" {
		return fmt.Errorf("want %s, not %s", strings.TrimPrefix(expectedType(field), "!!"), describeNode(n))
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
	case n.Tag != expectedType(field) && !(field.Kind() == reflect.Float64 && n.Tag == "!!int"):
		return fmt.Errorf("want %s, not %q", strings.TrimPrefix(expectedType(field), "!!"), n.Value)
	}
	if err := n.Decode(field.Addr().Interface()); err != nil {
		return fmt.Errorf("%q does not fit", n.Value)
	}
	return nil
}

func expectedType(field reflect.Value) string {
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

func describeNode(n *yaml.Node) string {
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
