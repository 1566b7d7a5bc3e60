package store

import (
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Limits of one request.
const (
	maxScanItems         = 1000
	maxTransactionWrites = 500
)

// tableData holds the items of the table; its lock makes every call linearizable.
type tableData struct {
	mu         sync.Mutex
	lastCommit uint64
	items      map[string]table.Item
	// keys holds the keys in order, for scans.
	keys     []string
	onCommit func(table.Transaction)
}

func newTableData() *tableData { return &tableData{items: map[string]table.Item{}} }

func (d *tableData) get(keys []string) []table.Item {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := []table.Item{}
	for _, k := range keys {
		if it, ok := d.items[k]; ok {
			found = append(found, it)
		}
	}
	return found
}

func (d *tableData) scan(q table.ScanRequest) []table.Item {
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := q.Limit
	if limit <= 0 || limit > maxScanItems {
		limit = maxScanItems
	}
	found := []table.Item{}
	for i := sort.SearchStrings(d.keys, max(q.Prefix, q.After)); i < len(d.keys) && len(found) < limit; i++ {
		k := d.keys[i]
		if k == q.After && q.After != "" {
			continue
		}
		if !strings.HasPrefix(k, q.Prefix) {
			break
		}
		found = append(found, d.items[k])
	}
	return found
}

// apply applies a transaction and returns its commit number, or false if a condition does not hold.
func (d *tableData) apply(t table.Transaction) (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range t.Conditions {
		// An absent item has version 0.
		if d.items[c.Key].Version != c.Version {
			return 0, false
		}
	}
	d.lastCommit++
	for _, w := range t.Writes {
		d.write(w)
	}
	if d.onCommit != nil {
		d.onCommit(t)
	}
	return d.lastCommit, true
}

func (d *tableData) write(w table.Write) {
	i, present := slices.BinarySearch(d.keys, w.Key)
	switch {
	case w.Delete && present:
		delete(d.items, w.Key)
		d.keys = slices.Delete(d.keys, i, i+1)
	case w.Delete:
	default:
		if !present {
			d.keys = slices.Insert(d.keys, i, w.Key)
		}
		d.items[w.Key] = table.Item{Key: w.Key, Value: slices.Clone(w.Value), Version: d.lastCommit}
	}
}
