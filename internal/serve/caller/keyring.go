package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// keyring indexes the keys of a view by ID and rebuilds the index when the view's revision changes.
type keyring struct {
	current atomic.Pointer[keyIndex]
}

type keyIndex struct {
	revision uint64
	keys     map[string]teamKey
}

type teamKey struct {
	team fleet.TeamName
	role fleet.KeyRole
	salt []byte
	hash []byte
}

func (k *keyring) index(v fleet.View) *keyIndex {
	if x := k.current.Load(); x != nil && x.revision == v.Revision() {
		return x
	}
	x := &keyIndex{revision: v.Revision(), keys: map[string]teamKey{}}
	for team, section := range v.Document().Keys {
		for _, key := range section.Keys {
			salt, err := hex.DecodeString(key.Salt)
			hash, herr := hex.DecodeString(key.Hash)
			if err != nil || herr != nil {
				continue
			}
			x.keys[key.ID] = teamKey{team: team, role: key.Role, salt: salt, hash: hash}
		}
	}
	k.current.Store(x)
	return x
}

// keyParts is the number of parts of a key, "yh_<id>_<secret>".
const keyParts = 3

// authenticate returns the team of a request's key, whatever the key's role. The key itself must never appear in a log
// or an error.
func (k *keyring) authenticate(q *http.Request, v fleet.View) (fleet.TeamName, error) {
	header := q.Header.Get("Authorization")
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return "", reject.New(reject.KindKey, reject.WorkNotRun, "the request carries no key")
	}
	parts := strings.SplitN(strings.TrimSpace(token), "_", keyParts)
	if len(parts) != keyParts || parts[0] != "yh" {
		return "", reject.New(reject.KindKey, reject.WorkNotRun, "the key is malformed")
	}
	key := k.index(v).keys[parts[1]]
	// For an unknown ID, the secret is hashed and compared too, with an empty hash that nothing matches, so that the
	// duration doesn't reveal which IDs exist.
	if !key.matches(parts[2]) {
		return "", reject.New(reject.KindKey, reject.WorkNotRun, "the key is wrong or withdrawn")
	}
	return key.team, nil
}

func (k teamKey) matches(secret string) bool {
	h := sha256.New()
	h.Write(k.salt)
	h.Write([]byte(secret))
	return subtle.ConstantTimeCompare(h.Sum(nil), k.hash) == 1
}
