package admin

import (
	"encoding/json"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

func sectionItem(s fleet.Section) fleet.Item { return item("view/section/"+s.Name, s) }

func sectionRemoval(name string) fleet.Item { return fleet.Item{Key: "view/section/" + name} }

func zoneItem(z fleet.AvailabilityZone, s fleet.ZoneStatus) fleet.Item {
	return item("view/zone/"+string(z), s)
}

func item(key string, value any) fleet.Item {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values hold strings and integers only
	}
	return fleet.Item{Key: key, Value: b}
}
