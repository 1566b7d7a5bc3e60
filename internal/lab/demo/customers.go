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
	entryCount     = 6
	workersPerZone = 10
	// minAvailable is the availability budget of each working pool; two thirds of its workers remain when a zone is
	// taken out of service.
	minAvailable = 3
	sparePool    = fleet.PoolName("spare")
	// taskTimeout is the longest time from submission to answer.
	taskTimeout = 10 * time.Second
)

func zones() []fleet.AvailabilityZone { return []fleet.AvailabilityZone{"a", "b", "c"} }

// Customer is one customer with one team and one queue.
type Customer struct {
	Name    string
	Pool    fleet.PoolName
	Share   int
	Ceiling int
	// Rate is the mean number of requests per second, Run the mean run time in milliseconds.
	Rate float64
	Run  int64
	// Timeout is the longest time from submission to answer.
	Timeout time.Duration
	// id and secret form the team's submit key.
	id, secret string
}

// customers returns two large customers with a pool each and four small ones that share two pools. A surge of a large
// customer needs about twice the slots of its pool; a surge of a small one exceeds its ceiling.
func customers() []Customer {
	return withSubmitKeys([]Customer{
		{Name: "harbour", Pool: "pool-1", Share: 4, Ceiling: 60, Rate: 50, Run: 400, Timeout: taskTimeout},
		{Name: "quarry", Pool: "pool-2", Share: 4, Ceiling: 60, Rate: 50, Run: 400, Timeout: taskTimeout},
		{Name: "bakery", Pool: "pool-3", Share: 2, Ceiling: 24, Rate: 12, Run: 500, Timeout: taskTimeout},
		{Name: "mill", Pool: "pool-3", Share: 1, Ceiling: 24, Rate: 12, Run: 500, Timeout: taskTimeout},
		{Name: "forge", Pool: "pool-4", Share: 1, Ceiling: 24, Rate: 12, Run: 500, Timeout: taskTimeout},
		{Name: "dairy", Pool: "pool-4", Share: 1, Ceiling: 24, Rate: 12, Run: 500, Timeout: taskTimeout},
	})
}

// withSubmitKeys generates a submit key for every customer.
func withSubmitKeys(list []Customer) []Customer {
	for i := range list {
		list[i].id, list[i].secret = list[i].Name+"-submit", rand.Text()+rand.Text()
	}
	return list
}

func (c Customer) team() fleet.TeamName   { return fleet.TeamName(c.Name) }
func (c Customer) queue() fleet.QueueName { return fleet.QueueName(c.Name) }
func (c Customer) key() string            { return "yh_" + c.id + "_" + c.secret }

func (c Customer) teamSection(ceiling int) fleet.TeamSection {
	return fleet.TeamSection{Share: c.Share, Ceiling: ceiling, Customer: c.Name}
}

func (c Customer) keysSection() fleet.KeysSection {
	salt := make([]byte, 16)
	// crypto/rand.Read never returns an error.
	_, _ = rand.Read(salt)
	sum := sha256.Sum256(append(salt[:len(salt):len(salt)], c.secret...))
	return fleet.KeysSection{Keys: []fleet.Key{{
		ID: c.id, Role: fleet.RoleSubmit, Salt: hex.EncodeToString(salt), Hash: hex.EncodeToString(sum[:]),
	}}}
}

// document returns the complete document in YAML.
func document(list []Customer) string {
	sections := map[string]any{
		"pool/" + string(sparePool): fleet.PoolSection{Spare: true, Quarantine: 20, Wave: 1},
	}
	for _, z := range zones() {
		sections["zone/"+string(z)] = zoneSection(fleet.ZoneIn)
	}
	for _, c := range list {
		sections["pool/"+string(c.Pool)] = fleet.PoolSection{Min: minAvailable, Quarantine: 20, Wave: 1}
		sections["team/"+c.Name] = c.teamSection(c.Ceiling)
		sections["queue/"+c.Name] = fleet.QueueSection{
			Team: c.team(), Pool: c.Pool, Timeout: c.Timeout, Waiting: 1000, Slots: 1, Objective: 99, Within: c.Timeout / 2,
		}
		sections["keys/"+c.Name] = c.keysSection()
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

// teamLoads returns the load of each customer at a multiple of its rate.
func teamLoads(list []Customer, factor float64) []load.Team {
	var t []load.Team
	for _, c := range list {
		t = append(t, load.Team{
			Name: c.team(), Queue: c.queue(), Secret: c.key(), Rate: c.Rate * factor, Run: c.Run, Size: 2048, Body: 512,
			Once: 0.3, Async: 0.1, Timeout: c.Timeout.Milliseconds(),
		})
	}
	return t
}

// initialEdits returns the edits that record the ceilings and budgets of the first document.
func initialEdits(list []Customer, sent, accepted record.Stamp) []record.Edit {
	var e []record.Edit
	for _, c := range list {
		e = append(e,
			record.Edit{Kind: record.EditCeiling, Sent: sent, Time: accepted, Team: c.team(), Count: c.Ceiling},
			record.Edit{Kind: record.EditBudget, Sent: sent, Time: accepted, Pool: c.Pool, Count: minAvailable})
	}
	return e
}
