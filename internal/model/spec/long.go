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
	n := d.parse(whole, text)
	if n == nil {
		return d.document, nil, d.findings
	}
	root := n.Content[0]
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
		sections = append(sections, d.encoded(k, v))
	}
	document, findings := d.finish()
	return document, sections, findings
}

// encoded returns a section with a text of its own, which keeps the comments around the section's name.
func (d *decoder) encoded(k, v *yaml.Node) fleet.Section {
	text, err := Encode(&yaml.Node{Kind: yaml.DocumentNode, HeadComment: k.HeadComment, FootComment: k.FootComment,
		Content: []*yaml.Node{v}})
	if err != nil {
		d.add(place{k.Value, v.Line, v.Column}, "%v", err)
	}
	return fleet.Section{Name: k.Value, Text: text}
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
		key := &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: s.Name, HeadComment: n.HeadComment, FootComment: n.FootComment}
		root.Content = append(root.Content, key, n.Content[0])
	}
	return Encode(root)
}

// Encode writes a section, or the YAML node of one, as the text of a section.
func Encode(section any) (string, error) {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(section); err != nil {
		return "", fmt.Errorf("spec: %w", err)
	}
	return b.String(), e.Close()
}
