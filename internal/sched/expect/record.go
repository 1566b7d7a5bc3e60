package expect

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// Prefix is the prefix of the keys in the store, which end with the name of a queue.
const Prefix = "learn/"

const (
	// StoreInterval is the least time between two stored versions of a queue's model.
	StoreInterval = 2 * time.Second
	// MaxRowBytes bounds a stored row. It is below the 16 KB that a row may take, so that a row fits in an entry of a log row.
	MaxRowBytes = 7 << 10
	// maxStoredCount bounds the counts of a record.
	maxStoredCount = 1 << 40
)

// record is the stored form of the model of a queue. Effects of workers are not stored: they fade within seconds. The straight
// line is not stored either, since the evaluation compares with a line that each leader learns anew.
type record struct {
	Count      int64          `json:"count"`
	MeanX      float64        `json:"declared"`
	MeanY      float64        `json:"ran"`
	Variance   float64        `json:"variance"`
	Covariance float64        `json:"covariance"`
	Images     []effectRecord `json:"images,omitempty"`
	Customers  []effectRecord `json:"customers,omitempty"`
	// Ratios are residuals in thousandths, Counts how often each was seen.
	Ratios []int64 `json:"ratios"`
	Counts []int64 `json:"counts"`
	Errors Errors  `json:"errors"`
}

type effectRecord struct {
	Name    string  `json:"name"`
	Mean    float32 `json:"mean"`
	Samples float32 `json:"samples"`
}

var errInvalidRecord = errors.New("expect: invalid record")

// Validate checks a record after decoding.
func (r record) Validate() error {
	const most = maxStoredLog * maxStoredCount
	numbers := []float64{r.MeanX, r.MeanY, r.Variance / maxStoredLog, r.Covariance / maxStoredLog, r.Errors.Declared / most,
		r.Errors.Line / most, r.Errors.Model / most}
	for _, list := range [][]effectRecord{r.Images, r.Customers} {
		for _, e := range list {
			if e.Samples < 0 {
				return errInvalidRecord
			}
			numbers = append(numbers, float64(e.Mean), float64(e.Samples)/maxStoredCount)
		}
	}
	for _, n := range numbers {
		if !(math.Abs(n) <= maxStoredLog) {
			return errInvalidRecord
		}
	}
	if r.Count < 0 || r.Count > maxStoredCount || r.Errors.Runs < 0 || r.Variance < 0 || len(r.Ratios) != len(r.Counts) ||
		len(r.Images) > MaxImages || len(r.Customers) > MaxCustomers {
		return errInvalidRecord
	}
	total := int64(0)
	for i, n := range r.Counts {
		if n < 1 || n > 2*windowSamples || r.Ratios[i] < 1 || r.Ratios[i] > 2*maxRatio {
			return errInvalidRecord
		}
		total += n
	}
	if total == 0 || total > 2*windowSamples {
		return errInvalidRecord
	}
	return nil
}

// maxStoredLog bounds the logarithms of a record, so that no number that is computed from it overflows.
const maxStoredLog = 30

// due returns the queues whose models are to be stored, those that have waited longest first.
func (m *Model) due(now time.Time) []*queueModel {
	var due []*queueModel
	for _, q := range m.queues {
		if q.changed > 0 && q.count >= minSamples && now.Sub(q.storedAt) >= StoreInterval {
			due = append(due, q)
		}
	}
	slices.SortFunc(due, func(x, y *queueModel) int {
		return cmp.Or(x.storedAt.Compare(y.storedAt), cmp.Compare(x.name, y.name))
	})
	return due
}

// Rows are the writes for the store in one batch.
type Rows struct {
	Writes []table.Write
	// changes are the numbers of changes of the queues whose models are written.
	changes map[string]int64
	deleted []string
}

// Rows returns the next writes for the store, at most a number of them.
func (m *Model) Rows(limit int, now time.Time) (Rows, error) {
	r := Rows{}
	for _, name := range m.evicted[:min(max(limit, 0), len(m.evicted))] {
		r.Writes = append(r.Writes, table.Write{Key: Prefix + name, Delete: true})
		r.deleted = append(r.deleted, name)
	}
	for _, q := range m.due(now) {
		if len(r.Writes) >= limit {
			break
		}
		value, err := q.encode()
		if err != nil {
			return Rows{}, fmt.Errorf("expect: encode model of queue %q: %w", q.name, err)
		}
		if r.changes == nil {
			r.changes = map[string]int64{}
		}
		r.Writes = append(r.Writes, table.Write{Key: Prefix + q.name, Value: value})
		r.changes[q.name] = q.changed
	}
	return r, nil
}

// Confirm records that the store holds some writes.
func (m *Model) Confirm(r Rows, now time.Time) {
	m.evicted = slices.DeleteFunc(m.evicted, func(n string) bool { return slices.Contains(r.deleted, n) })
	for name, changes := range r.changes {
		if q, ok := m.queues[name]; ok {
			q.changed, q.storedAt = max(q.changed-changes, 0), now
		} else {
			m.evict(name)
		}
	}
}

// evict has the row of a queue deleted that the model does not hold any more.
func (m *Model) evict(name string) {
	if !slices.Contains(m.evicted, name) {
		m.evicted = append(m.evicted, name)
	}
}

// encode returns the stored form of the model.
func (q *queueModel) encode() (value []byte, err error) {
	r := record{Count: q.count, MeanX: q.meanX, MeanY: q.meanY, Variance: q.variance, Covariance: q.covariance, Errors: q.errors,
		Images: q.images.records(), Customers: q.customers.records()}
	ratios, counts := q.residuals.bars()
	for i := range ratios {
		r.Ratios, r.Counts = append(r.Ratios, max(int64(ratios[i]*ratioUnit), 1)), append(r.Counts, int64(counts[i]))
	}
	for {
		if value, err = cbor.Marshal(r); err != nil || len(value) <= MaxRowBytes {
			return value, err
		}
		// Only names that are unusually long get here; the least certain effects are left out.
		r.Images, r.Customers = r.Images[:len(r.Images)/2], r.Customers[:len(r.Customers)/2]
	}
}

// records returns the effects with a sample, those with most samples first.
func (m effects) records() []effectRecord {
	var list []effectRecord
	for name, e := range m {
		if e.samples > 0 {
			list = append(list, effectRecord{name, float32(e.mean), float32(e.samples)})
		}
	}
	slices.SortFunc(list, func(x, y effectRecord) int {
		return cmp.Or(cmp.Compare(y.Samples, x.Samples), cmp.Compare(x.Name, y.Name))
	})
	return list
}

// Load adds the model of a queue from its row. A model of straight lines loads nothing.
func (m *Model) Load(i table.Item) error {
	if m.lines != nil {
		return nil
	}
	name := strings.TrimPrefix(i.Key, Prefix)
	var r record
	if err := cbor.Unmarshal(i.Value, &r); err != nil {
		return fmt.Errorf("expect: decode model of queue %q: %w", name, err)
	}
	if err := r.Validate(); err != nil {
		return fmt.Errorf("%w of queue %q", err, name)
	}
	if len(m.queues) >= MaxQueues {
		m.evict(name)
		return nil
	}
	now := time.Now()
	q := newQueueModel(name)
	q.usedAt, q.storedAt = now, now
	q.count, q.meanX, q.meanY, q.variance, q.covariance, q.errors = r.Count, r.MeanX, r.MeanY, r.Variance, r.Covariance, r.Errors
	q.images.load(r.Images, now)
	q.customers.load(r.Customers, now)
	q.residuals.load(r.Ratios, r.Counts)
	if q.count >= minSamples {
		q.shape = newShape(q.residuals.bars())
	}
	q.updateSlope()
	m.queues[name] = q
	return nil
}

func (m effects) load(list []effectRecord, now time.Time) {
	for _, e := range list {
		m[e.Name] = &effect{mean: float64(e.Mean), samples: min(float64(e.Samples), 1/sampleGain), usedAt: now}
	}
}
