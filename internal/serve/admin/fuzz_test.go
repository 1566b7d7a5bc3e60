package admin_test

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against request bodies and instance or team names that crash a handler, which shows as status 500.
func FuzzBodies(f *testing.F) {
	for _, s := range []string{`{"pool":"main"}`, `{"pool":1}`, `{"role":"submit"}`, `{"id":"../x","role":"admin"}`, "", "[", "null",
		"state: out\n", "keys: [{id: a}]", "pool/main: {min: 1}"} {
		f.Add(uint8(len(s)), "w1", s)
	}
	paths := []struct{ method, before, after string }{
		{"POST", "/v1/instances/", "/move"}, {"POST", "/v1/instances/", "/drain"}, {"POST", "/v1/instances/", "/undrain"},
		{"POST", "/v1/keys/", ""}, {"PUT", "/v1/document/sections/zone/", ""}, {"PUT", "/v1/document/sections/keys/", ""},
		{"POST", "/v1/document/check", ""}, {"PUT", "/v1/document", ""},
	}
	f.Fuzz(func(t *testing.T, n uint8, name, body string) {
		p := paths[int(n)%len(paths)]
		path := p.before
		if p.after != "" || strings.HasSuffix(p.before, "/") {
			path += strings.Map(func(r rune) rune {
				if strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789.-_~", r) {
					return r
				}
				return 'x'
			}, name) + p.after
		}
		s, _ := newServer(t)
		q := httptest.NewRequest(p.method, path, strings.NewReader(body))
		q.Header.Set("Authorization", "Bearer token")
		q.Header.Set("If-Match", "*")
		w := httptest.NewRecorder()
		s.ServeHTTP(w, q)
		if w.Code == 500 {
			t.Errorf("%s %s: %s", p.method, path, w.Body)
		}
	})
}
