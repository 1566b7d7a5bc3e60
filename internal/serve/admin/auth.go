package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
)

// tokenAuthor is the author of edits made with the admin token.
const tokenAuthor = "admin-token"

// actor is the authenticated sender of a request; the zero value has no rights.
type actor struct {
	name  string
	admin bool
	// team and key are set for actors with a key.
	team fleet.TeamName
	key  fleet.Key
}

// authenticate returns the actor of a request's credential. Keys are part of the view and need a fresh one; the admin
// token is a setting and works without.
func (s *Server) authenticate(q *http.Request) (actor, error) {
	scheme, credential, _ := strings.Cut(q.Header.Get("Authorization"), " ")
	credential = strings.TrimSpace(credential)
	if !strings.EqualFold(scheme, "Bearer") || credential == "" {
		return actor{}, reject.New(reject.KindKey, reject.WorkNotRun, "the request carries no credential")
	}
	if s.Token != "" && equalSecrets(credential, s.Token) {
		return actor{name: tokenAuthor, admin: true}, nil
	}
	if err := s.Viewer.Fresh(); err != nil {
		return actor{}, err
	}
	return authenticateKey(s.Viewer.View(), credential)
}

// equalSecrets compares hashes in constant time, so that its duration reveals neither content nor length.
func equalSecrets(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}

// keyPrefix is the first part of every key: "yh_<id>_<secret>".
const keyPrefix = "yh"

func authenticateKey(v fleet.View, credential string) (actor, error) {
	parts := strings.SplitN(credential, "_", 3)
	if len(parts) != 3 || parts[0] != keyPrefix {
		return actor{}, reject.New(reject.KindKey, reject.WorkNotRun, "the credential is neither a key nor the admin token")
	}
	team, key := findKey(v, parts[1])
	if !matches(key, parts[2]) {
		return actor{}, reject.New(reject.KindKey, reject.WorkNotRun, "the key is wrong or withdrawn")
	}
	if key.Role != fleet.RoleAdmin && key.Role != fleet.RoleEdit {
		return actor{}, reject.New(reject.KindForbidden, reject.WorkNotRun, "the key may only submit tasks")
	}
	return actor{name: string(team) + "/" + key.ID, admin: key.Role == fleet.RoleAdmin, team: team, key: key}, nil
}

func findKey(v fleet.View, id string) (fleet.TeamName, fleet.Key) {
	for team, section := range v.Document().Keys {
		for _, k := range section.Keys {
			if k.ID == id {
				return team, k
			}
		}
	}
	return "", fleet.Key{}
}

// matches compares a secret with a key's salted hash. The zero key matches nothing but takes as long, so that the
// duration doesn't reveal whether a key exists.
func matches(k fleet.Key, secret string) bool {
	salt, _ := hex.DecodeString(k.Salt)
	hash, _ := hex.DecodeString(k.Hash)
	return subtle.ConstantTimeCompare(saltedHash(salt, secret), hash) == 1
}

func saltedHash(salt []byte, secret string) []byte {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(secret))
	return h.Sum(nil)
}

// revalidate checks that the actor's key is unchanged in the view that an edit is based on. An actor without a key,
// which used the admin token, always passes.
func (a actor) revalidate(v fleet.View) error {
	if a.key.ID == "" {
		return nil
	}
	if team, key := findKey(v, a.key.ID); team != a.team || key != a.key {
		return reject.New(reject.KindKey, reject.WorkNotRun, "the key has been withdrawn")
	}
	return nil
}

func (a actor) requireAdmin() error {
	if !a.admin {
		return reject.New(reject.KindForbidden, reject.WorkNotRun, "this needs the admin role")
	}
	return nil
}

// authorizeAccess allows the admin role to read and change every section, and a team's edit key only the team's own
// queues and keys section; an edit key may also add queues and that keys section.
func (a actor) authorizeAccess(before fleet.Document, section string) error {
	if a.admin {
		return nil
	}
	owner, exists := ownerOf(before, section)
	if exists && owner != a.team || !exists && !strings.HasPrefix(section, "queue/") && section != spec.KeysName(a.team) {
		return reject.New(reject.KindForbidden, reject.WorkNotRun, "section %q is not among those of team %q", section, a.team)
	}
	return nil
}

// authorizeResult checks the document after an edit with a team's edit key, which may neither give a queue to another
// team nor add, change or withdraw keys with the admin role.
func (a actor) authorizeResult(before, after fleet.Document, section string) error {
	if a.admin {
		return nil
	}
	if owner, exists := ownerOf(after, section); exists && owner != a.team {
		return reject.New(reject.KindForbidden, reject.WorkNotRun, "section %q must stay with team %q", section, a.team)
	}
	if !slices.Equal(adminKeys(before, a.team), adminKeys(after, a.team)) {
		return reject.New(reject.KindForbidden, reject.WorkNotRun, "only the admin role may change keys with the admin role")
	}
	return nil
}

// ownerOf returns the team whose edit keys may change a section of a document.
func ownerOf(d fleet.Document, section string) (fleet.TeamName, bool) {
	kind, name, _ := strings.Cut(section, "/")
	switch kind {
	case "queue":
		q, ok := d.Queues[fleet.QueueName(name)]
		return q.Team, ok
	case "keys":
		_, ok := d.Keys[fleet.TeamName(name)]
		return fleet.TeamName(name), ok
	}
	return "", false
}

func adminKeys(d fleet.Document, t fleet.TeamName) []fleet.Key {
	return slices.DeleteFunc(slices.Clone(d.Keys[t].Keys), func(k fleet.Key) bool { return k.Role != fleet.RoleAdmin })
}
