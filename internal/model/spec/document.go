package spec

import (
	"bytes"
	"fmt"

	"gopkg.in/yaml.v3"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// DecodeDocument decodes a document written as one YAML mapping from section names to sections. Positions of findings
// refer to that text; each returned section has its own text and no version.
func DecodeDocument(text string) (fleet.Document, []fleet.Section, []Finding) {
	d := newDecoder()
	n := d.parse(wholeDocument, text)
	if n == nil {
		return d.document, nil, d.findings
	}
	root := n.Content[0]
	if root.Kind != yaml.MappingNode {
		d.addFinding(position{wholeDocument, root.Line, root.Column}, "want a mapping of sections, not %s",
			describeNode(root))
		return d.document, nil, d.findings
	}
	var sections []fleet.Section
	seen := map[string]bool{}
	for i := 0; i+1 < len(root.Content); i += 2 {
		k, v := root.Content[i], root.Content[i+1]
		if seen[k.Value] {
			d.addFinding(position{k.Value, k.Line, k.Column}, "section is given twice")
			continue
		}
		seen[k.Value] = true
		if v.Tag == "!!null" {
			v = &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map", Line: k.Line, Column: k.Column}
		}
		d.decodeNode(k.Value, v)
		sections = append(sections, d.encodeSection(k, v))
	}
	document, findings := d.finish()
	return document, sections, findings
}

// encodeSection returns a section with its own text, which keeps the comments around the section's name.
func (d *decoder) encodeSection(k, v *yaml.Node) fleet.Section {
	text, err := Encode(&yaml.Node{Kind: yaml.DocumentNode, HeadComment: k.HeadComment, FootComment: k.FootComment,
		Content: []*yaml.Node{v}})
	if err != nil {
		d.addFinding(position{k.Value, v.Line, v.Column}, "%v", err)
	}
	return fleet.Section{Name: k.Value, Text: text}
}

// EncodeDocument encodes sections as one YAML mapping from section names to sections and keeps comments.
func EncodeDocument(sections []fleet.Section) (string, error) {
	root := &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map"}
	for _, s := range sections {
		d := newDecoder()
		n := d.parse(s.Name, s.Text)
		if n == nil {
			return "", fmt.Errorf("spec: parsing a section: %v", d.findings)
		}
		key := &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: s.Name, HeadComment: n.HeadComment,
			FootComment: n.FootComment}
		root.Content = append(root.Content, key, n.Content[0])
	}
	return Encode(root)
}

// Encode encodes a section, or the YAML node of one, as the text of a section.
func Encode(section any) (string, error) {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(section); err != nil {
		return "", fmt.Errorf("spec: %w", err)
	}
	return b.String(), e.Close()
}
