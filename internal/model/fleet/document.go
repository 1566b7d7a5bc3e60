package fleet

import "time"

// Document is the decoded document: every section by kind and name.
type Document struct {
	Zones  map[AvailabilityZone]ZoneSection
	Pools  map[PoolName]PoolSection
	Teams  map[TeamName]TeamSection
	Queues map[QueueName]QueueSection
	Keys   map[TeamName]KeysSection
	Limits LimitsSection
}

// ZoneState says whether operators keep an availability zone in service.
type ZoneState string

// The states of an availability zone in the document.
const (
	ZoneIn  ZoneState = "in"
	ZoneOut ZoneState = "out"
)

// ZoneSection is the section "zone/<name>".
type ZoneSection struct {
	State ZoneState `yaml:"state"`
	// Grace is how long running tasks may go on after the zone was taken out before idempotent ones are moved.
	Grace time.Duration `yaml:"grace"`
}

// PoolSection is the section "pool/<name>".
type PoolSection struct {
	// Min is the availability budget: the number of instances that planned work must leave available.
	Min int `yaml:"min"`
	// Spare marks the pool whose instances may be moved to pools in demand.
	Spare bool `yaml:"spare"`
	// Quarantine caps the share of the pool's workers in quarantine, in percent.
	Quarantine int `yaml:"quarantine"`
	// Version is the system version that every instance of the pool is to run; empty means no roll-out.
	Version string `yaml:"version"`
	// Wave caps the number of instances under maintenance at once.
	Wave int `yaml:"wave"`
}

// TeamSection is the section "team/<name>".
type TeamSection struct {
	// Share is the team's weight when the fleet is full.
	Share int `yaml:"share"`
	// Ceiling caps the team's running tasks across the whole fleet, in slots.
	Ceiling int `yaml:"ceiling"`
	// Customer names the customer the team belongs to.
	Customer string `yaml:"customer"`
}

// QueueSection is the section "queue/<name>".
type QueueSection struct {
	Team TeamName `yaml:"team"`
	// Open queues accept work without a key; the work is accounted to Team.
	Open bool     `yaml:"open"`
	Pool PoolName `yaml:"pool"`
	// Timeout is the longest time from submission to answer.
	Timeout time.Duration `yaml:"timeout"`
	// Waiting caps the number of waiting tasks per entry instance.
	Waiting int `yaml:"waiting"`
	// Urgent work is served before other work of the same pool.
	Urgent bool `yaml:"urgent"`
	// Slots is the declared number of worker slots of one task.
	Slots int `yaml:"slots"`
	// Objective is the share of requests, in percent, that must be answered within Within.
	Objective float64       `yaml:"objective"`
	Within    time.Duration `yaml:"within"`
}

// KeyRole says what a key permits.
type KeyRole string

// The roles of keys.
const (
	RoleSubmit KeyRole = "submit"
	RoleEdit   KeyRole = "edit"
	RoleAdmin  KeyRole = "admin"
)

// Key is one granted key; the secret itself is never stored.
type Key struct {
	ID   string  `yaml:"id"`
	Role KeyRole `yaml:"role"`
	// Salt and Hash are hexadecimal; Hash is SHA-256 over salt and secret.
	Salt string `yaml:"salt"`
	Hash string `yaml:"hash"`
}

// KeysSection is the section "keys/<team>".
type KeysSection struct {
	Keys []Key `yaml:"keys"`
}

// LimitsSection is the section "limits".
type LimitsSection struct {
	// Body caps a request body, in bytes.
	Body int64 `yaml:"body"`
	// Retries caps retries as a share of starts, in percent.
	Retries int `yaml:"retries"`
}
