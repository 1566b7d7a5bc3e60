package admin

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/model/spec"
)

// Sizes of the random parts of keys, in bytes.
const (
	secretBytes = 32
	saltBytes   = 16
	idBytes     = 6
)

// GrantRequest is the body of a request to grant a key; an empty ID is replaced by a random one.
type GrantRequest struct {
	ID   string        `json:"id,omitempty"`
	Role fleet.KeyRole `json:"role"`
}

// GrantReply is the reply to a granted key. Key is the credential itself, which is not stored anywhere.
type GrantReply struct {
	Revision uint64         `json:"revision"`
	Team     fleet.TeamName `json:"team"`
	ID       string         `json:"id"`
	Role     fleet.KeyRole  `json:"role"`
	Key      string         `json:"key"`
}

func (s *Server) grantKey(w http.ResponseWriter, q *http.Request, a actor) error {
	var g GrantRequest
	if err := json.NewDecoder(q.Body).Decode(&g); err != nil {
		return reject.New(reject.KindRequest, reject.WorkNotRun, `the body must be {"role": ROLE}`).WithCause(err)
	}
	if g.ID == "" {
		g.ID = hex.EncodeToString(randomBytes(idBytes))
	}
	secret := hex.EncodeToString(randomBytes(secretBytes))
	salt := randomBytes(saltBytes)
	key := fleet.Key{ID: g.ID, Role: g.Role, Salt: hex.EncodeToString(salt), Hash: hex.EncodeToString(saltedHash(salt, secret))}
	team := fleet.TeamName(q.PathValue("team"))
	revision, err := s.editKeys(q, a, team, func(keys []fleet.Key) ([]fleet.Key, error) { return append(keys, key), nil })
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusCreated, GrantReply{Revision: revision, Team: team, ID: key.ID, Role: key.Role,
		Key: keyPrefix + "_" + key.ID + "_" + secret})
}

func (s *Server) withdrawKey(w http.ResponseWriter, q *http.Request, a actor) error {
	team, id := fleet.TeamName(q.PathValue("team")), q.PathValue("id")
	revision, err := s.editKeys(q, a, team, func(keys []fleet.Key) ([]fleet.Key, error) {
		i := slices.IndexFunc(keys, func(k fleet.Key) bool { return k.ID == id })
		if i < 0 {
			return nil, reject.New(reject.KindRequest, reject.WorkNotRun, "team %q has no key %q", team, id)
		}
		return slices.Delete(keys, i, i+1), nil
	})
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, EditReply{Revision: revision, Section: spec.KeysName(team), Version: revision})
}

// editKeys changes a team's keys in the view that the edit is based on, so that concurrent grants don't overwrite each
// other.
func (s *Server) editKeys(q *http.Request, a actor, t fleet.TeamName, edit func([]fleet.Key) ([]fleet.Key, error)) (uint64, error) {
	name := spec.KeysName(t)
	return s.edit(q, a, func(v fleet.View) ([]fleet.Item, error) {
		if err := a.authorizeAccess(v.Document(), name); err != nil {
			return nil, err
		}
		keys, err := edit(slices.Clone(v.Document().Keys[t].Keys))
		if err != nil {
			return nil, err
		}
		text, err := spec.Encode(fleet.KeysSection{Keys: keys})
		if err != nil {
			return nil, err
		}
		return s.items(v, a, change{written: []fleet.Section{{Name: name, Text: text}}})
	})
}

// randomBytes returns n random bytes; crypto/rand.Read never fails.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return b
}
