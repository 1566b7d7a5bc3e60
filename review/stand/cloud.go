package main

import "net/http"

// cloud is the platform's machine service. The cases have one pool, so that no machine can move, and no waves.
type cloud struct{ fleet *fleet }

func (c cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]any{"machines": c.fleet.machines(), "next": nil})
	})
	mux.HandleFunc("POST /machine-move", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusBadRequest, nil)
	})
	mux.HandleFunc("POST /machine-upkeep", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusConflict, map[string]string{"reason": "wave"})
	})
	return mux
}

// machines returns the list of machines. A machine without a worker is down.
func (f *fleet) machines() []map[string]any {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := map[string]*worker{}
	var names []string
	for _, w := range f.workers {
		if _, ok := current[w.machine]; !ok {
			names = append(names, w.machine)
		}
		current[w.machine] = w
	}
	var list []map[string]any
	for _, name := range names {
		w := current[name]
		state, id := "up", w.id
		if !w.up {
			state, id = "down", ""
		}
		list = append(list, map[string]any{"machine": name, "pool": w.service, "state": state, "zone": w.zone,
			"labels": []string{"a", w.rack}, "capacity": w.capacity, "id": id})
	}
	return list
}
