package demo

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"gopkg.in/yaml.v3"

	"github.com/yuccahaven/yuccahaven/internal/lab/load"
	"github.com/yuccahaven/yuccahaven/internal/lab/record"
	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Size of the deployment.
const (
	entries        = 6
	workersPerZone = 10
	// minAvailable is the budget of each working pool; two thirds of its workers stay when a zone leaves.
	minAvailable = 3
	spare        = fleet.PoolName("spare")
	// taskTimeout is the longest time from submission to answer.
	taskTimeout = 10 * time.Second
)

func zones() []fleet.AvailabilityZone { return []fleet.AvailabilityZone{"a", "b", "c"} }

// customer is one customer with one team and one queue.
type customer struct {
	name    string
	pool    fleet.PoolName
	share   int
	ceiling int
	// rate is the mean, in requests a second; run the mean run time in milliseconds.
	rate float64
	run  int64
	// id and secret make the team's submit key.
	id, secret string
}

// customers returns two large customers with a pool each and four small ones that share two pools.
// A surge of a large one needs about twice the slots of its pool; one of a small one exceeds its ceiling.
func customers() []customer {
	list := []customer{
		{name: "harbour", pool: "pool-1", share: 4, ceiling: 60, rate: 50, run: 400},
		{name: "quarry", pool: "pool-2", share: 4, ceiling: 60, rate: 50, run: 400},
		{name: "bakery", pool: "pool-3", share: 2, ceiling: 24, rate: 12, run: 500},
		{name: "mill", pool: "pool-3", share: 1, ceiling: 24, rate: 12, run: 500},
		{name: "forge", pool: "pool-4", share: 1, ceiling: 24, rate: 12, run: 500},
		{name: "dairy", pool: "pool-4", share: 1, ceiling: 24, rate: 12, run: 500},
	}
	for i := range list {
		list[i].id, list[i].secret = list[i].name+"-submit", rand.Text()+rand.Text()
	}
	return list
}

func (c customer) team() fleet.TeamName   { return fleet.TeamName(c.name) }
func (c customer) queue() fleet.QueueName { return fleet.QueueName(c.name) }
func (c customer) key() string            { return "yh_" + c.id + "_" + c.secret }

func (c customer) teamSection(ceiling int) fleet.TeamSection {
	return fleet.TeamSection{Share: c.share, Ceiling: ceiling, Customer: c.name}
}

func (c customer) keysSection() fleet.KeysSection {
	salt := make([]byte, 16)
	// Read of crypto/rand never fails.
	_, _ = rand.Read(salt)
	sum := sha256.Sum256(append(salt[:len(salt):len(salt)], c.secret...))
	return fleet.KeysSection{Keys: []fleet.Key{{
		ID: c.id, Role: fleet.RoleSubmit, Salt: hex.EncodeToString(salt), Hash: hex.EncodeToString(sum[:]),
	}}}
}

// document returns the whole document in YAML.
func document(list []customer) string {
	sections := map[string]any{
		"pool/" + string(spare): fleet.PoolSection{Spare: true, Quarantine: 20, Wave: 1},
	}
	for _, z := range zones() {
		sections["zone/"+string(z)] = zoneSection(fleet.ZoneIn)
	}
	for _, c := range list {
		sections["pool/"+string(c.pool)] = fleet.PoolSection{Min: minAvailable, Quarantine: 20, Wave: 1}
		sections["team/"+c.name] = c.teamSection(c.ceiling)
		sections["queue/"+c.name] = fleet.QueueSection{
			Team: c.team(), Pool: c.pool, Timeout: taskTimeout, Waiting: 1000, Slots: 1, Objective: 99, Within: taskTimeout / 2,
		}
		sections["keys/"+c.name] = c.keysSection()
	}
	return mustYAML(sections)
}

func zoneSection(s fleet.ZoneState) fleet.ZoneSection {
	return fleet.ZoneSection{State: s, Grace: 2 * time.Second}
}

func mustYAML(v any) string {
	b, err := yaml.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("demo: encode document: %v", err))
	}
	return string(b)
}

// teams returns the load of the customers at a multiple of their rates.
func teams(list []customer, factor float64) []load.Team {
	var t []load.Team
	for _, c := range list {
		t = append(t, load.Team{
			Name: c.team(), Queue: c.queue(), Secret: c.key(), Rate: c.rate * factor, Run: c.run, Size: 2048, Body: 512,
			Once: 0.3, Async: 0.1, Timeout: taskTimeout.Milliseconds(),
		})
	}
	return t
}

// firstEdits are the ceilings and budgets of the first document.
func firstEdits(list []customer, sent, accepted record.Stamp) []record.Edit {
	var e []record.Edit
	for _, c := range list {
		e = append(e,
			record.Edit{Kind: record.EditCeiling, Sent: sent, Time: accepted, Team: c.team(), Count: c.ceiling},
			record.Edit{Kind: record.EditBudget, Sent: sent, Time: accepted, Pool: c.pool, Count: minAvailable})
	}
	return e
}
