package node

import (
	"errors"
	"fmt"
	"sync"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
)

// decode is the view's decoder. The view decodes one changed section at a time, so references to other sections are
// not checked here; every edit was checked against the whole document before it was stored.
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

// decoding remembers which stored sections don't decode, as a change of the format between versions of the program or
// a write by other means may leave them.
type decoding struct {
	mu       sync.Mutex
	sections map[string]decoded
}

type decoded struct {
	version  uint64
	findings []spec.Finding
}

// findings returns the findings of every section of a view. Only sections that have changed since the last call are
// decoded, because the status is read every second.
func (d *decoding) findings(v fleet.View) []spec.Finding {
	d.mu.Lock()
	defer d.mu.Unlock()
	sections := v.Sections()
	known := make(map[string]decoded, len(sections))
	var all []spec.Finding
	for _, s := range sections {
		k, ok := d.sections[s.Name]
		if !ok || k.version != s.Version {
			k.version = s.Version
			_, k.findings = spec.DecodeSection(s)
		}
		known[s.Name] = k
		all = append(all, k.findings...)
	}
	d.sections = known
	return all
}
