package caller

import (
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
)

// Guards against headers that crash the entry instance, exceed its limits unnoticed, or fail with an error
// that has no problem document.
func FuzzHeaders(f *testing.F) {
	f.Add("k", "?0", "?1", "1.5", "3", "respond-async, wait=5")
	f.Add("", "?1", "", "NaN", "0", "wait=99999999999999999999")
	f.Add("k", " ?0 ", "no", "1e300", "+7", "WAIT = -1")
	f.Add("\x00", "?", "?2", "-0.0000001", "65537", ",,;=")
	f.Fuzz(func(t *testing.T, key, idempotent, urgent, timeout, slots, prefer string) {
		q := httptest.NewRequest("POST", "/", nil)
		for name, v := range map[string]string{"Idempotency-Key": key, "Idempotent": idempotent, "Urgent": urgent,
			"Timeout": timeout, "Slots": slots, "Prefer": prefer} {
			q.Header.Set(name, v)
		}
		wantsAsync(q)
		if w := preferredWait(q); w < 0 || w > maxWait {
			t.Errorf("wait %s", w)
		}
		j, err := parseJob(q)
		var rejection *reject.Error
		switch {
		case err != nil && !errors.As(err, &rejection):
			t.Errorf("error %v is not a reject.Error", err)
		case err == nil && (j.Timeout < 0 || j.Timeout > 24*time.Hour || j.Slots < 0 || j.Slots > maxSlots ||
			len(j.Key) > maxKeyBytes):
			t.Errorf("job %+v", j)
		}
	})
}

// Guards against credentials that crash the entry instance, and against any that is accepted without the key's secret.
func FuzzBearer(f *testing.F) {
	const secret = "0123456789abcdef"
	k := fleet.Key{ID: "k", Role: fleet.RoleSubmit, Salt: "00ff",
		Hash: "02e1a4f04a8ac6a1cd94fe1bd9ee43ab7a35cc3e6ba5b7ae3aea7d8c1e5bfb56"}
	v := fleet.View{}.WithRevision(1).WithDocument(fleet.Document{Keys: map[fleet.TeamName]fleet.KeysSection{
		"blue": {Keys: []fleet.Key{k, {ID: "empty"}, {ID: "odd", Salt: "x", Hash: "y"}}}}})
	for _, s := range []string{"Bearer yh_k_" + secret, "bearer  yh_k_", "Bearer yh__", "Bearer yh_empty_", "Bearer yh_odd_", "Basic x", "", "Bearer yh_k_a_b"} {
		f.Add(s)
	}
	ring := &keyring{}
	f.Fuzz(func(t *testing.T, header string) {
		q := httptest.NewRequest("POST", "/", nil)
		q.Header.Set("Authorization", header)
		// No secret has the hash above, so that every credential must be rejected.
		if team, err := ring.authenticate(q, v); err == nil {
			t.Errorf("credential %q accepted for team %s", header, team)
		}
	})
}
