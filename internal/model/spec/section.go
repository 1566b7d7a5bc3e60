package spec

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Defaults of absent fields.
const (
	DefaultGrace      = 30 * time.Second
	DefaultQuarantine = 20 // percent
	DefaultWave       = 1
	DefaultShare      = 1
	DefaultTimeout    = time.Minute
	DefaultWaiting    = 1000
	DefaultSlots      = 1
	DefaultObjective  = 99      // percent
	DefaultBody       = 8 << 20 // bytes
	DefaultRetries    = 10      // percent
)

// Limits of fields.
const (
	maxCount    = 1_000_000
	maxDuration = 24 * time.Hour
	maxBody     = 1 << 30 // bytes
	saltBytes   = 16
	hashBytes   = 32
)

// report reports a problem of a field; an empty field name stands for the whole section.
type report func(field, format string, args ...any)

func (r report) between(field string, n, low, high int64) {
	if n < low || n > high {
		r(field, "%s must be from %d to %d, not %d", field, low, high, n)
	}
}

func (r report) within(field string, d, low, high time.Duration) {
	if d < low || d > high {
		r(field, "%s must be from %v to %v, not %v", field, low, high, d)
	}
}

func (r report) name(field, n string) {
	if err := fleet.CheckName(n); err != nil {
		r(field, "%s: %v", field, err)
	}
}

func newZone() fleet.ZoneSection {
	return fleet.ZoneSection{State: fleet.ZoneIn, Grace: DefaultGrace}
}

func checkZone(s fleet.ZoneSection, r report) {
	if s.State != fleet.ZoneIn && s.State != fleet.ZoneOut {
		r("state", "state must be in or out, not %q", string(s.State))
	}
	r.within("grace", s.Grace, 0, maxDuration)
}

func newPool() fleet.PoolSection {
	return fleet.PoolSection{Quarantine: DefaultQuarantine, Wave: DefaultWave}
}

func checkPool(s fleet.PoolSection, r report) {
	r.between("min", int64(s.Min), 0, maxCount)
	r.between("quarantine", int64(s.Quarantine), 0, 100)
	r.between("wave", int64(s.Wave), 1, maxCount)
	if s.Version != "" {
		r.name("version", s.Version)
	}
}

func newTeam() fleet.TeamSection { return fleet.TeamSection{Share: DefaultShare} }

func checkTeam(s fleet.TeamSection, r report) {
	r.between("share", int64(s.Share), 1, maxCount)
	r.between("ceiling", int64(s.Ceiling), 0, maxCount)
	if s.Customer != "" {
		r.name("customer", s.Customer)
	}
}

func newQueue() fleet.QueueSection {
	return fleet.QueueSection{Timeout: DefaultTimeout, Waiting: DefaultWaiting, Slots: DefaultSlots, Objective: DefaultObjective}
}

func checkQueue(s fleet.QueueSection, r report) {
	r.name("team", string(s.Team))
	r.name("pool", string(s.Pool))
	r.within("timeout", s.Timeout, time.Millisecond, maxDuration)
	r.between("waiting", int64(s.Waiting), 0, maxCount)
	r.between("slots", int64(s.Slots), 1, maxCount)
	// NaN must fail the check, so the condition is negated.
	if !(s.Objective > 0 && s.Objective < 100) {
		r("objective", "objective must be above 0 and below 100 percent, not %v", s.Objective)
	}
	r.within("within", s.Within, 0, maxDuration)
	if s.Within > s.Timeout {
		r("within", "within must not exceed the timeout of %v", s.Timeout)
	}
}

func newLimits() fleet.LimitsSection {
	return fleet.LimitsSection{Body: DefaultBody, Retries: DefaultRetries}
}

func checkLimits(s fleet.LimitsSection, r report) {
	r.between("body", s.Body, 1, maxBody)
	r.between("retries", int64(s.Retries), 0, 100)
}

func checkKey(k fleet.Key, r report) {
	r.name("id", k.ID)
	switch k.Role {
	case fleet.RoleSubmit, fleet.RoleEdit, fleet.RoleAdmin:
	default:
		r("role", "role must be submit, edit or admin, not %q", string(k.Role))
	}
	r.hexadecimal("salt", k.Salt, saltBytes)
	r.hexadecimal("hash", k.Hash, hashBytes)
}

func (r report) hexadecimal(field, text string, want int) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != want {
		r(field, "%s must be %d bytes in hexadecimal", field, want)
	}
}

// missingMessage returns the message for an absent required field.
func missingMessage(field string) string { return fmt.Sprintf("%s is missing", field) }
