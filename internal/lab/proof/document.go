package proof

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// Names and limits in the document.
const (
	pool = fleet.PoolName("main")
	// Scenarios withdraw only the key of team green.
	blue, green = fleet.TeamName("blue"), fleet.TeamName("green")
	// budget is the pool's min: with two workers in each of three availability zones one zone can be out of service.
	budget  = 3
	ceiling = 10
)

func zones() []fleet.AvailabilityZone { return []fleet.AvailabilityZone{"a", "b", "c"} }

// key is an API key of a team with its secret.
type key struct {
	id, secret string
	role       fleet.KeyRole
}

func newKey(id string, role fleet.KeyRole) key {
	return key{id: id, secret: rand.Text() + rand.Text(), role: role}
}

func (k key) bearer() string { return "yh_" + k.id + "_" + k.secret }

func (k key) yaml() string {
	salt := make([]byte, 16)
	// Read of crypto/rand never fails.
	_, _ = rand.Read(salt)
	sum := sha256.Sum256(append(salt[:len(salt):len(salt)], k.secret...))
	return fmt.Sprintf("{id: %s, role: %s, salt: %q, hash: %q}", k.id, k.role, hex.EncodeToString(salt),
		hex.EncodeToString(sum[:]))
}

func zoneText(s fleet.ZoneState) string { return fmt.Sprintf("state: %s\ngrace: 2s\n", s) }

func teamText(ceiling int) string {
	return fmt.Sprintf("share: 1\nceiling: %d\ncustomer: x\n", ceiling)
}

func poolText(version string) string {
	return fmt.Sprintf("min: %d\nquarantine: 20\nwave: 2\nversion: %q\n", budget, version)
}

func keysText(keys ...key) string {
	var lines []string
	for _, k := range keys {
		lines = append(lines, k.yaml())
	}
	return "keys: [" + strings.Join(lines, ", ") + "]\n"
}

func queueText(t fleet.TeamName) string {
	return fmt.Sprintf("team: %s\npool: %s\ntimeout: 30s\nwaiting: 1000\nslots: 1\nobjective: 99\nwithin: 5s\n", t, pool)
}

// document returns the whole document.
func (f *Fleet) document() string {
	sections := map[string]string{
		"pool/main": poolText("v1"),
		"team/blue": teamText(ceiling), "team/green": teamText(ceiling),
		"queue/blue": queueText(blue), "queue/green": queueText(green),
		"keys/blue": keysText(f.submitKeys[blue], f.adminKey), "keys/green": keysText(f.submitKeys[green]),
	}
	for _, z := range zones() {
		sections["zone/"+string(z)] = zoneText(fleet.ZoneIn)
	}
	var out strings.Builder
	for name, text := range sections {
		out.WriteString(name + ":\n  " + strings.ReplaceAll(strings.TrimSpace(text), "\n", "\n  ") + "\n")
	}
	return out.String()
}
