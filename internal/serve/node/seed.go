package node

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
	"github.com/yuccahaven/yuccahaven/internal/state/view"
	"go.uber.org/zap"
)

// errFindings marks errors that list the findings of a document.
var errFindings = errors.New("the document has findings")

// loadSections reads and decodes a document file.
func loadSections(file string) (fleet.Document, []fleet.Section, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return fleet.Document{}, nil, fmt.Errorf("node: document: %w", err)
	}
	d, sections, findings := spec.DecodeDocument(string(text))
	return d, sections, findingsError(file, findings)
}

func findingsError(file string, findings []spec.Finding) error {
	if len(findings) == 0 {
		return nil
	}
	lines := make([]string, 0, len(findings))
	for _, f := range findings {
		lines = append(lines, f.String())
	}
	return fmt.Errorf("%s: %w:\n%s", file, errFindings, strings.Join(lines, "\n"))
}

// seed writes a document to an empty table and retries until it is stored, the table has sections or the context ends.
// It leaves a table with sections unchanged. A file that can't be read or has findings is not retried.
func seed(ctx context.Context, r *view.Replica, file string, log *zap.Logger) error {
	d, sections, err := loadSections(file)
	if err != nil {
		return err
	}
	for last := ""; ; {
		if err := r.Await(ctx); err != nil {
			return err
		}
		_, err := r.Edit(ctx, seedAuthor, func(v fleet.View) ([]fleet.Item, error) {
			if len(v.Sections()) > 0 {
				return nil, nil
			}
			return seedItems(d, sections), nil
		})
		if err == nil || len(r.View().Sections()) > 0 || ctx.Err() != nil {
			return err
		}
		if err.Error() != last {
			last = err.Error()
			log.Warn("node: writing the seed document failed, retrying", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(seedBackoff):
		}
	}
}

const (
	seedBackoff = 500 * time.Millisecond
	// seedAuthor is the author of the seed document in the audit log.
	seedAuthor = "seed"
)

func seedItems(d fleet.Document, sections []fleet.Section) []fleet.Item {
	var items []fleet.Item
	for _, s := range sections {
		items = append(items, view.SectionItem(s))
	}
	for z, s := range d.Zones {
		items = append(items, view.ZoneItem(z, fleet.ZoneStatus{State: s.State}))
	}
	return items
}
