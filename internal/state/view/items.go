package view

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Keys of the table. Revisions in keys are zero-padded so that a scan returns them in order.
const (
	// HeadKey holds the revision of the view.
	HeadKey = "head"

	logPrefix     = "log/"
	auditPrefix   = "audit/"
	viewPrefix    = "view/"
	sectionPrefix = "view/section/"
	memberPrefix  = "view/member/"
	poolPrefix    = "view/pool/"
	zonePrefix    = "view/zone/"
)

// SectionKey returns the table key of a document section.
func SectionKey(name string) string { return sectionPrefix + name }

// MemberKey returns the table key of an entry instance's member record.
func MemberKey(id fleet.EntryID) string { return memberPrefix + string(id) }

// SectionItem returns the change that writes a section; Replica.Edit sets its version.
func SectionItem(s fleet.Section) fleet.Item { return item(SectionKey(s.Name), s) }

// SectionRemoval returns the change that removes a section.
func SectionRemoval(name string) fleet.Item { return fleet.Item{Key: SectionKey(name)} }

// ZoneItem returns the change that sets an availability zone's state; Replica.Edit sets its generation.
func ZoneItem(z fleet.AvailabilityZone, s fleet.ZoneStatus) fleet.Item {
	return item(zonePrefix+string(z), s)
}

// ZoneRemoval returns the change that removes an availability zone's state.
func ZoneRemoval(z fleet.AvailabilityZone) fleet.Item { return fleet.Item{Key: zonePrefix + string(z)} }

// MemberItem returns the change that registers an entry instance.
func MemberItem(m fleet.Member) fleet.Item { return item(MemberKey(m.ID), m) }

// MemberRemoval returns the change that removes an entry instance.
func MemberRemoval(id fleet.EntryID) fleet.Item { return fleet.Item{Key: MemberKey(id)} }

// PoolItem returns the change that replaces the entire membership of a pool.
func PoolItem(p fleet.PoolName, members []fleet.PoolMember) fleet.Item {
	return item(poolPrefix+string(p), members)
}

// PoolRemoval returns the change that removes a pool's membership.
func PoolRemoval(p fleet.PoolName) fleet.Item { return fleet.Item{Key: poolPrefix + string(p)} }

func item(key string, value any) fleet.Item {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: the item types hold only strings and numbers
	}
	return fleet.Item{Key: key, Value: b}
}

func logKey(revision uint64) string   { return fmt.Sprintf("%s%020d", logPrefix, revision) }
func auditKey(revision uint64) string { return fmt.Sprintf("%s%020d", auditPrefix, revision) }

func changesMember(i fleet.Item) bool { return strings.HasPrefix(i.Key, memberPrefix) }

// stamp sets the section versions and zone generations to the revision of the edit; a zone whose state stays the same
// keeps its generation.
func stamp(v fleet.View, items []fleet.Item, revision uint64) ([]fleet.Item, error) {
	stamped := make([]fleet.Item, 0, len(items))
	for _, i := range items {
		switch {
		case len(i.Value) == 0:
		case strings.HasPrefix(i.Key, sectionPrefix):
			var s fleet.Section
			if err := json.Unmarshal(i.Value, &s); err != nil {
				return nil, fmt.Errorf("view: item %s: %w", i.Key, err)
			}
			s.Version = revision
			i = SectionItem(s)
		case strings.HasPrefix(i.Key, zonePrefix):
			var s fleet.ZoneStatus
			if err := json.Unmarshal(i.Value, &s); err != nil {
				return nil, fmt.Errorf("view: item %s: %w", i.Key, err)
			}
			zone := fleet.AvailabilityZone(strings.TrimPrefix(i.Key, zonePrefix))
			present := v.Zone(zone)
			s.Generation = revision
			if present.State == s.State {
				s.Generation = present.Generation
			}
			i = ZoneItem(zone, s)
		case !strings.HasPrefix(i.Key, viewPrefix):
			return nil, fmt.Errorf("view: item %s is not part of the view", i.Key)
		}
		stamped = append(stamped, i)
	}
	return stamped, nil
}
