package rules_test

import (
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/model/work"
	"github.com/yuccahaven/yuccahaven/internal/state/rules"
)

// Guards against a config that reverts, against changes that wake nobody, and against zones and waves that stay after
// the operators have removed them.
func TestBook(t *testing.T) {
	b := rules.NewCache()
	version := func(v int64) *work.Config { return work.NewConfig(work.Config{Version: v}) }
	changes := []struct {
		name   string
		change func()
		wakes  bool
	}{
		{"first config", func() { b.Configure(version(3)) }, true},
		{"older config", func() { b.Configure(version(2)) }, false},
		{"same config", func() { b.Configure(version(3)) }, false},
		{"zone out", func() { b.Evacuate("a", true) }, true},
		{"zone out again", func() { b.Evacuate("a", true) }, false},
		{"wave", func() { b.AddWave(rules.Wave{Number: 1}) }, true},
		{"wave removed", func() { b.RemoveWave(1) }, true},
		{"wave removed again", func() { b.RemoveWave(1) }, false},
		{"zone back", func() { b.Evacuate("a", false) }, true},
	}
	for _, x := range changes {
		before, changed := b.Current()
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
			t.Errorf("%s: rules that were handed out have changed", x.name)
		}
	}
	now, _ := b.Current()
	if now.Config.Version != 3 || len(now.EvacuatedZones) != 0 || len(now.Waves) != 0 {
		t.Errorf("version %d, out %v, waves %v", now.Config.Version, now.EvacuatedZones, now.Waves)
	}
}
