package rules_test

import (
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
)

// Guards against an older config that replaces a newer one, against changes that don't close the channel, and against
// zones and waves that stay after the operators have removed them.
func TestCache(t *testing.T) {
	c := rules.NewCache()
	version := func(v int64) *work.Config { return work.NewConfig(work.Config{Version: v}) }
	changes := []struct {
		name   string
		change func()
		wakes  bool
	}{
		{"first config", func() { c.Configure(version(3)) }, true},
		{"older config", func() { c.Configure(version(2)) }, false},
		{"same config", func() { c.Configure(version(3)) }, false},
		{"zone out", func() { c.Evacuate("a", true) }, true},
		{"zone out again", func() { c.Evacuate("a", true) }, false},
		{"wave", func() { c.AddWave(rules.Wave{Number: 1}) }, true},
		{"wave removed", func() { c.RemoveWave(1) }, true},
		{"wave removed again", func() { c.RemoveWave(1) }, false},
		{"zone back", func() { c.Evacuate("a", false) }, true},
	}
	for _, x := range changes {
		before, changed := c.Current()
		x.change()
		woken := false
		select {
		case <-changed:
			woken = true
		default:
		}
		if woken != x.wakes {
			t.Errorf("%s: woken %t", x.name, woken)
		}
		if before.EvacuatedZones["a"] && !x.wakes && len(before.EvacuatedZones) != 1 {
			t.Errorf("%s: rules that Current had returned were modified", x.name)
		}
	}
	now, _ := c.Current()
	if now.Config.Version != 3 || len(now.EvacuatedZones) != 0 || len(now.Waves) != 0 {
		t.Errorf("version %d, evacuated zones %v, waves %v", now.Config.Version, now.EvacuatedZones, now.Waves)
	}
}
