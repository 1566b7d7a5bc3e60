package node

import (
	"errors"
	"fmt"
	"sync"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
)

// decode decodes sections for the view. The view passes one changed section at a time, so references to other sections
// are not checked here; every edit is checked against the whole document before it is stored.
func decode(sections []fleet.Section) (fleet.Document, error) {
	d, _ := spec.Decode(sections)
	var errs []error
	for _, s := range sections {
		_, findings := spec.DecodeSection(s)
		for _, f := range findings {
			errs = append(errs, fmt.Errorf("%w: %s", errFindings, f))
		}
	}
	return d, errors.Join(errs...)
}

// findingsCache caches the findings of stored sections that don't decode. A format change between program versions or a
// write that bypasses the admin API can leave such sections.
type findingsCache struct {
	mu       sync.Mutex
	sections map[string]sectionFindings
}

type sectionFindings struct {
	version  uint64
	findings []spec.Finding
}

// findings returns the findings of all sections of a view. It decodes only sections that changed since the last call,
// because the status is read every second.
func (c *findingsCache) findings(v fleet.View) []spec.Finding {
	c.mu.Lock()
	defer c.mu.Unlock()
	sections := v.Sections()
	known := make(map[string]sectionFindings, len(sections))
	var all []spec.Finding
	for _, s := range sections {
		k, ok := c.sections[s.Name]
		if !ok || k.version != s.Version {
			k.version = s.Version
			_, k.findings = spec.DecodeSection(s)
		}
		known[s.Name] = k
		all = append(all, k.findings...)
	}
	c.sections = known
	return all
}
