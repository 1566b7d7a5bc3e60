package worker

import (
	"fmt"
	"net/http"
	"time"
)

// PathSwitch is the path of a worker's control endpoint.
const PathSwitch = "/lab/switch"

// Action names a switch of a worker.
type Action string

// The switches of a worker.
const (
	ActionFail     Action = "fail"
	ActionThrottle Action = "throttle"
	ActionLeave    Action = "leave"
	ActionSilence  Action = "silence"
	ActionFreeze   Action = "freeze"
	ActionThaw     Action = "thaw"
	ActionDie      Action = "die"
	ActionBoot     Action = "boot"
	ActionReboot   Action = "reboot"
)

// Switch is a request to the control endpoint.
type Switch struct {
	Action Action `json:"action"`
	// Text is the error text of fail and the version of reboot.
	Text string `json:"text,omitempty"`
	// Factor is that of throttle.
	Factor float64 `json:"factor,omitempty"`
	// Off ends fail and leave.
	Off bool `json:"off,omitempty"`
	// Refuse makes a leaving worker decline reservations; Force reboots a busy one.
	Refuse bool `json:"refuse,omitempty"`
	Force  bool `json:"force,omitempty"`
	// For ends a freeze or brings a dead worker back after a time in nanoseconds; 0 leaves it.
	For time.Duration `json:"for,omitempty"`
}

// Control serves the switches.
func (w *Worker) Control() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+PathSwitch, handle(func(_ *http.Request, s Switch) (any, error) { return nil, w.Apply(s) }))
	return m
}

// Apply carries out a switch.
func (w *Worker) Apply(s Switch) error {
	switch s.Action {
	case ActionFail:
		w.FailAll(textUnless(s.Off, s.Text))
	case ActionThrottle:
		w.Throttle(s.Factor)
	case ActionLeave:
		w.Leave(!s.Off, s.Refuse)
	case ActionSilence:
		w.Silence()
	case ActionFreeze:
		w.Freeze()
		later(s.For, w.Thaw)
	case ActionThaw:
		w.Thaw()
	case ActionDie:
		w.Die()
		// A port that can't be opened again shows as a worker that stays away.
		later(s.For, func() { _ = w.Boot() })
	case ActionBoot:
		return w.Boot()
	case ActionReboot:
		return w.Reboot(s.Text, s.Force)
	default:
		return fmt.Errorf("worker: unknown switch %q", s.Action)
	}
	return nil
}

func later(d time.Duration, f func()) {
	if d > 0 {
		time.AfterFunc(d, f)
	}
}

func textUnless(off bool, text string) string {
	switch {
	case off:
		return ""
	case text == "":
		return "every task fails on this worker"
	}
	return text
}
