package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// upkeepTime is how long a machine is away for its upkeep, as in the settings.
const upkeepTime = 2 * time.Second

// cloudState is the state of the platform's service for machines; the fleet's mutex guards it.
type cloudState struct {
	// While the service is in trouble, its answers take delay, and while lost is set calls for upkeep are carried out and get none.
	delay time.Duration
	lost  bool
	// waves are the machines of each wave, done those of them that have had their upkeep.
	waves map[int64][]string
	done  map[string]bool
}

// askUpkeep has the operator write a wave.
func (f *fleet) askUpkeep(number int64, machines []string, atOnce int, duration time.Duration) {
	f.mu.Lock()
	if f.cloud.waves == nil {
		f.cloud.waves, f.cloud.done = map[int64][]string{}, map[string]bool{}
	}
	f.cloud.waves[number] = machines
	f.mu.Unlock()
	f.record.add("wave %d: %v, %d at once", number, machines, atOnce)
	f.store.put("op", fmt.Sprintf("wave/%d", number), map[string]any{"wave": number, "machines": machines,
		"durationS": duration.Seconds(), "cap": atOnce})
}

// trouble returns how long an answer takes now, and whether it is lost.
func (f *fleet) trouble() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cloud.delay, f.cloud.lost
}

// setTrouble begins or ends the trouble of the service for machines.
func (f *fleet) setTrouble(delay time.Duration, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cloud.delay, f.cloud.lost = delay, lost
	f.record.add("service for machines: answers take %v more, those to calls for upkeep are lost: %v", delay, lost)
}

// cloudHandler serves the list of machines and the calls for upkeep. There is one pool, so that no machine can be moved.
func (f *fleet) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		delay, _ := f.trouble()
		time.Sleep(delay)
		reply(w, http.StatusOK, map[string]any{"machines": f.listMachines()})
	})
	mux.HandleFunc("POST /machine-upkeep", func(w http.ResponseWriter, r *http.Request) {
		var b struct {
			Machine string `json:"machine"`
			Wave    int64  `json:"wave"`
		}
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		delay, lost := f.trouble()
		status, reason := f.upkeep(b.Machine, b.Wave)
		f.record.add("upkeep of %s in wave %d by %s with %s: %d %s, answer lost: %v", b.Machine, b.Wave,
			r.Header.Get("X-Lease-Holder"), r.Header.Get("X-Fencing-Token"), status, reason, lost)
		if lost {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(delay)
		reply(w, status, map[string]string{"reason": reason})
	})
	mux.HandleFunc("POST /", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusBadRequest, nil) })
	return mux
}

func (f *fleet) listMachines() []map[string]any {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []map[string]any{}
	for _, m := range f.machines {
		e := map[string]any{"machine": m.name, "pool": f.pool, "state": "down", "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": map[string]int64{"cpu": m.cpu, "memMb": 131072, "gpu": 0}}
		switch {
		case m.up:
			e["state"], e["id"] = "up", m.id
		case m.inUpkeep:
			e["state"] = "upkeep"
		}
		list = append(list, e)
	}
	return list
}

// upkeep carries out a call for the upkeep of a machine.
func (f *fleet) upkeep(name string, wave int64) (status int, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.machines, func(m *machine) bool { return m.name == name })
	if i < 0 {
		return http.StatusBadRequest, ""
	}
	m, key := f.machines[i], fmt.Sprintf("%d/%s", wave, name)
	switch {
	case !slices.Contains(f.cloud.waves[wave], name):
		return http.StatusConflict, "wave"
	case !m.up:
		return http.StatusConflict, "busy"
	case f.cloud.done[key]:
		return http.StatusOK, ""
	}
	f.cloud.done[key] = true
	m.end("upkeep", false)
	m.inUpkeep = true
	time.AfterFunc(upkeepTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		m.inUpkeep = false
		m.start()
		f.record.add("worker %s on %s is up", m.id, m.name)
	})
	return http.StatusOK, ""
}
