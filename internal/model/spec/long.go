package spec

import (
	"bytes"
	"fmt"

	"gopkg.in/yaml.v3"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// DecodeLong decodes a document written as one YAML mapping from section names to sections.
// Findings are placed in that text; the returned sections have texts of their own and no version.
func DecodeLong(text string) (fleet.Document, []fleet.Section, []Finding) {
	d := newDecoder()
	root := d.parse(whole, text)
	if root == nil {
		return d.document, nil, d.findings
	}
	if root.Kind != yaml.MappingNode {
		d.add(place{whole, root.Line, root.Column}, "want a mapping of sections, not %s", kindOf(root))
		return d.document, nil, d.findings
	}
	var sections []fleet.Section
	seen := map[string]bool{}
	for i := 0; i+1 < len(root.Content); i += 2 {
		k, v := root.Content[i], root.Content[i+1]
		if seen[k.Value] {
			d.add(place{k.Value, k.Line, k.Column}, "section is given twice")
			continue
		}
		seen[k.Value] = true
		if v.Tag == "!!null" {
			v = &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: k.Line, Column: k.Column}
		}
		d.section(k.Value, v)
		sections = append(sections, d.encoded(k.Value, v))
	}
	document, findings := d.finish()
	return document, sections, findings
}

func (d *decoder) encoded(name string, n *yaml.Node) fleet.Section {
	text, err := encode(n)
	if err != nil {
		d.add(place{name, n.Line, n.Column}, "%v", err)
	}
	return fleet.Section{Name: name, Text: text}
}

// EncodeLong writes sections as one YAML mapping from section names to sections; comments are kept.
func EncodeLong(sections []fleet.Section) (string, error) {
	root := &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map"}
	for _, s := range sections {
		d := newDecoder()
		n := d.parse(s.Name, s.Text)
		if n == nil {
			return "", fmt.Errorf("spec: %v", d.findings)
		}
		root.Content = append(root.Content, &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: s.Name}, n)
	}
	return encode(root)
}

// Encode writes one section value as the text of a section.
func Encode(section any) (string, error) {
	var n yaml.Node
	if err := n.Encode(section); err != nil {
		return "", fmt.Errorf("spec: %w", err)
	}
	return encode(&n)
}

func encode(n *yaml.Node) (string, error) {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(n); err != nil {
		return "", fmt.Errorf("spec: %w", err)
	}
	return b.String(), e.Close()
}
