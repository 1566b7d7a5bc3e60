package spec

import (
	"fmt"
	"strings"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
)

// The kinds of sections; a kind is the first part of a section's name.
const (
	kindZone   = "zone"
	kindPool   = "pool"
	kindTeam   = "team"
	kindQueue  = "queue"
	kindKeys   = "keys"
	kindLimits = "limits"
)

// wholeDocument is the section name in findings about the document as a whole.
const wholeDocument = "document"

// Split splits the full name of a section into kind and name; the section "limits" has no name.
func Split(section string) (kind, name string, err error) {
	kind, name, _ = strings.Cut(section, "/")
	switch kind {
	case kindLimits:
		if section != kindLimits {
			return "", "", fmt.Errorf("section %q: limits takes no name", section)
		}
		return kind, "", nil
	case kindZone, kindPool, kindTeam, kindQueue, kindKeys:
		if err := fleet.CheckName(name); err != nil {
			return "", "", fmt.Errorf("section %q: %w", section, err)
		}
		return kind, name, nil
	default:
		return "", "", fmt.Errorf("section %q: want zone/, pool/, team/, queue/, keys/ with a name, or limits", section)
	}
}

// ZoneName returns the availability zone of a zone section, and false for other sections.
func ZoneName(section string) (fleet.AvailabilityZone, bool) {
	kind, name, err := Split(section)
	return fleet.AvailabilityZone(name), err == nil && kind == kindZone
}

// KeysName returns the name of the keys section of a team.
func KeysName(t fleet.TeamName) string { return kindKeys + "/" + string(t) }

// IsZone reports whether a section is the section of an availability zone.
func IsZone(section string) bool {
	_, ok := ZoneName(section)
	return ok
}
