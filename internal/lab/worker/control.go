package worker

import (
	"fmt"
	"net/http"
	"time"
)

// PathControl is the path of a worker's control endpoint, which injects faults.
const PathControl = "/lab/switch"

// Action is what a control request makes a worker do.
type Action string

// The actions of a worker.
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

// ControlRequest is the body of a request to the control endpoint.
type ControlRequest struct {
	Action Action `json:"action"`
	// Text is the error text of fail or the system version of reboot.
	Text string `json:"text,omitempty"`
	// Factor is the factor of throttle.
	Factor float64 `json:"factor,omitempty"`
	// Off ends a fail or leave.
	Off bool `json:"off,omitempty"`
	// Refuse makes a leaving worker decline reservations; Force reboots a worker that runs tasks.
	Refuse bool `json:"refuse,omitempty"`
	Force  bool `json:"force,omitempty"`
	// For is the time in nanoseconds after which a freeze ends or a dead worker boots; 0 is never.
	For time.Duration `json:"for,omitempty"`
}

// Control returns the handler of the control endpoint.
func (w *Worker) Control() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+PathControl, handle(func(_ *http.Request, c ControlRequest) (any, error) {
		return nil, w.Apply(c)
	}))
	return m
}

// Apply executes a control request.
func (w *Worker) Apply(c ControlRequest) error {
	switch c.Action {
	case ActionFail:
		w.FailAll(failureText(c.Off, c.Text))
	case ActionThrottle:
		w.Throttle(c.Factor)
	case ActionLeave:
		w.Leave(!c.Off, c.Refuse)
	case ActionSilence:
		w.Silence()
	case ActionFreeze:
		w.Freeze()
		runAfter(c.For, w.Thaw)
	case ActionThaw:
		w.Thaw()
	case ActionDie:
		w.Die()
		// If the port can't be opened again, the worker stays unreachable, which callers notice.
		runAfter(c.For, func() { _ = w.Boot() })
	case ActionBoot:
		return w.Boot()
	case ActionReboot:
		return w.Reboot(c.Text, c.Force)
	default:
		return fmt.Errorf("worker: unknown action %q", c.Action)
	}
	return nil
}

func runAfter(d time.Duration, f func()) {
	if d > 0 {
		time.AfterFunc(d, f)
	}
}

func failureText(off bool, text string) string {
	switch {
	case off:
		return ""
	case text == "":
		return "every task fails on this worker"
	}
	return text
}
