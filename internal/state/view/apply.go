package view

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Decoder decodes sections into a document. It returns what it could decode along with an error for the rest.
type Decoder func([]fleet.Section) (fleet.Document, error)

// snapshot is a view with the revision that last changed its members.
type snapshot struct {
	view            fleet.View
	membersRevision uint64
}

// apply returns the snapshot after a delta. An item that doesn't decode is left out, with its earlier value,
// and reported in the error.
func apply(s snapshot, d fleet.Delta, decode Decoder) (snapshot, error) {
	var errs []error
	v := s.view
	for _, i := range d.Items {
		next, err := applyItem(v, i, decode)
		if err != nil {
			errs = append(errs, fmt.Errorf("view: item %s of revision %d: %w", i.Key, d.Revision, err))
		}
		v = next
		if changesMember(i) {
			s.membersRevision = d.Revision
		}
	}
	s.view = v.WithRevision(d.Revision)
	return s, errors.Join(errs...)
}

func applyItem(v fleet.View, i fleet.Item, decode Decoder) (fleet.View, error) {
	removed := len(i.Value) == 0
	switch {
	case strings.HasPrefix(i.Key, sectionPrefix):
		return applySection(v, strings.TrimPrefix(i.Key, sectionPrefix), i.Value, decode)
	case strings.HasPrefix(i.Key, memberPrefix):
		id := fleet.EntryID(strings.TrimPrefix(i.Key, memberPrefix))
		m, err := decodeItem[fleet.Member](i.Value)
		if removed || err != nil {
			return v.WithoutMember(id), err
		}
		return v.WithMember(m), nil
	case strings.HasPrefix(i.Key, poolPrefix):
		members, err := decodeItem[[]fleet.PoolMember](i.Value)
		return v.WithPool(fleet.PoolName(strings.TrimPrefix(i.Key, poolPrefix)), members), err
	case strings.HasPrefix(i.Key, zonePrefix):
		status, err := decodeItem[fleet.ZoneStatus](i.Value)
		if removed {
			status.State = fleet.ZoneIn
		}
		return v.WithZone(fleet.AvailabilityZone(strings.TrimPrefix(i.Key, zonePrefix)), status), err
	}
	return v, errors.New("unknown kind")
}

func decodeItem[T any](value []byte) (T, error) {
	var t T
	if len(value) == 0 {
		return t, nil
	}
	err := json.Unmarshal(value, &t)
	return t, err
}

// applySection decodes only the changed section: at 100,000 edits a day, decoding all sections at every edit would
// exceed the processor time that a control daemon may use.
func applySection(v fleet.View, name string, value []byte, decode Decoder) (fleet.View, error) {
	var changed []fleet.Section
	s, err := decodeItem[fleet.Section](value)
	if len(value) == 0 || err != nil {
		v = v.WithoutSection(name)
	} else {
		v = v.WithSection(s)
		changed = append(changed, s)
	}
	part, decodeErr := decode(changed)
	return v.WithDocument(merge(v.Document(), name, part)), errors.Join(err, decodeErr)
}

// merge replaces one section of a document by that of a document decoded from this section alone.
func merge(d fleet.Document, name string, part fleet.Document) fleet.Document {
	kind, id, _ := strings.Cut(name, "/")
	switch kind {
	case "zone":
		d.Zones = replace(d.Zones, fleet.AvailabilityZone(id), part.Zones)
	case "pool":
		d.Pools = replace(d.Pools, fleet.PoolName(id), part.Pools)
	case "team":
		d.Teams = replace(d.Teams, fleet.TeamName(id), part.Teams)
	case "queue":
		d.Queues = replace(d.Queues, fleet.QueueName(id), part.Queues)
	case "keys":
		d.Keys = replace(d.Keys, fleet.TeamName(id), part.Keys)
	case "limits":
		d.Limits = part.Limits
	}
	return d
}

func replace[K comparable, V any](m map[K]V, k K, part map[K]V) map[K]V {
	c := make(map[K]V, len(m)+1)
	maps.Copy(c, m)
	delete(c, k)
	if v, ok := part[k]; ok {
		c[k] = v
	}
	return c
}
