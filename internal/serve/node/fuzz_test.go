package node

import "testing"

// Guards against settings that crash Check, or pass it without the values that startup needs.
func FuzzSettings(f *testing.F) {
	f.Add("e1", "a", "127.0.0.1:0", "http://t", "t", "2s")
	f.Add("", "A_B", "::::", "ftp://x", "", "-1s")
	f.Add("e1.", "a", "[::1]:80", "http://", "t", "1e9h")
	f.Fuzz(func(t *testing.T, name, zone, address, url, token, duration string) {
		s := &Settings{Name: name, Zone: zone, Listen: address, PeerListen: address, Advertise: address, Table: url,
			Object: url, Roster: url, PeerToken: token, BodyTimeout: duration, BalancerPause: duration, LogLevel: name}
		if s.Check() == nil && (s.bodyTimeout <= 0 || s.balancerPause < 0 || s.PeerToken == "" || s.Name == "") {
			t.Errorf("invalid settings accepted: %+v", s)
		}
	})
}
