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

// keyring indexes the keys of a view by id; it is rebuilt when the view's revision changes.
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

// bearerParts is the number of parts of "yh_<id>_<secret>".
const bearerParts = 3

// authenticate returns the team whose key accompanies a request. The key itself is never logged or repeated in an
// error.
func (k *keyring) authenticate(q *http.Request, v fleet.View) (fleet.TeamName, error) {
	header := q.Header.Get("Authorization")
	scheme, token, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return "", reject.New(reject.KindKey, reject.WorkNotRun, "the request carries no key")
	}
	parts := strings.SplitN(strings.TrimSpace(token), "_", bearerParts)
	if len(parts) != bearerParts || parts[0] != "yh" {
		return "", reject.New(reject.KindKey, reject.WorkNotRun, "the key is malformed")
	}
	key := k.index(v).keys[parts[1]]
	// An unknown id is compared too, against nothing that can match, so that it takes as long as a known one.
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
