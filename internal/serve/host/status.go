package host

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
	"github.com/yuccahaven/yuccahaven/internal/serve/leader"
)

// Status is what an entry instance shows operators of itself.
type Status struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Boot string `json:"boot"`
	// Config is the version of the operators' config in force, 0 before the first.
	Config int64 `json:"config"`
	Ready  bool  `json:"ready"`
	// Slowdown is how many times slower than at its best the process runs.
	Slowdown float64 `json:"slowdown"`
	// Cores is the processor time that the process used in the last second, Share what it may use, both in cores.
	Cores float64 `json:"cores"`
	Share float64 `json:"share"`
	// Known is the last known leader.
	Known KnownLeader `json:"leader"`
	// Leading is nil unless this instance leads.
	Leading *leader.Report `json:"leading,omitempty"`
}

// KnownLeader is the leader as an instance knows it; Address is that of its peers.
type KnownLeader struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Term     int64  `json:"term"`
	Released bool   `json:"released,omitempty"`
}

// status returns the state of this instance.
func (h *Host) status() Status {
	s := Status{Name: h.Name, Zone: h.Zone, Boot: h.Boot, Ready: h.isReady(), Slowdown: h.speed.Slowdown(),
		Cores: h.usage.cores(), Share: h.Share}
	if r := h.router.Load(); r != nil {
		if c := r.Config(); c != nil {
			s.Config = c.Version
		}
	}
	if e := h.elector.Load(); e != nil {
		l, _ := e.Leader()
		s.Known = KnownLeader{Name: l.Name, Address: l.Address, Term: l.Term, Released: l.Released}
	}
	if r, ok := h.leader.Report(); ok {
		s.Leading = &r
	}
	return s
}

// operators serves the metrics and the status, which need no credential.
func (h *Host) operators() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(h.status()); err != nil {
			h.Log.Info("host: status not written", zap.Error(err))
		}
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		h.leader.UpdateMetrics()
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		admin.WriteMetrics(w, h.Registry)
	})
	return mux
}
