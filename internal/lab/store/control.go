package store

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
)

// Paths of the control endpoint.
const (
	PathFaults    = "/lab/faults/"
	PathCounters  = "/lab/counters"
	PathInstances = "/lab/instances"
	PathLag       = "/lab/lag"
)

// Lag is the delay in nanoseconds after which the roster lists changes of instances.
type Lag struct {
	Lag time.Duration `json:"lag"`
}

// AllCounters are the counters of every service.
type AllCounters struct {
	Table  Counters `json:"table"`
	Object Counters `json:"object"`
	Roster Counters `json:"roster"`
}

// Control returns the handler of the control endpoint: faults by service, counters, instances and the roster's lag.
func (s *Store) Control() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("PUT "+PathFaults+"{service}", withBody(func(w http.ResponseWriter, r *http.Request, f Faults) {
		err := s.setFaults(r.PathValue("service"), f)
		if err != nil {
			rest.WriteProblem(w, rest.Problem{Status: http.StatusBadRequest, Code: codeRequest, Detail: err.Error()})
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	m.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		rest.WriteJSON(w, AllCounters{Table: s.Counters(Table), Object: s.Counters(Object), Roster: s.Counters(Roster)})
	})
	m.HandleFunc("PUT "+PathLag, withBody(func(w http.ResponseWriter, _ *http.Request, l Lag) {
		s.SetLag(l.Lag)
		w.WriteHeader(http.StatusNoContent)
	}))
	m.HandleFunc("POST "+PathInstances, withBody(func(w http.ResponseWriter, _ *http.Request, l roster.Listing) {
		s.Put(l)
		w.WriteHeader(http.StatusNoContent)
	}))
	m.HandleFunc("POST "+PathInstances+"/{id}/leave", func(w http.ResponseWriter, r *http.Request) {
		if err := s.Leave(fleet.InstanceID(r.PathValue("id"))); err != nil {
			rest.WriteProblem(w, rest.Problem{Status: http.StatusNotFound, Code: roster.CodeAbsent})
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	m.HandleFunc("DELETE "+PathInstances+"/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.Remove(fleet.InstanceID(r.PathValue("id")))
		w.WriteHeader(http.StatusNoContent)
	})
	return m
}

func (s *Store) setFaults(service string, f Faults) error {
	if service == "all" {
		return s.SetAll(f)
	}
	return s.Set(Service(service), f)
}

// PathReboot is the path at which a fake worker accepts reboots from the platform; the body is a
// roster.RebootRequest.
const PathReboot = "/lab/reboot"

func rebootOverHTTP(ctx context.Context, l roster.Listing, version string) error {
	c := rest.NewCaller("http://" + l.Address)
	defer c.CloseIdle()
	in := roster.RebootRequest{Version: version}
	err := c.JSON(ctx, rest.Request{Method: http.MethodPost, Path: PathReboot, In: in, Fresh: true}, nil)
	if p := (*rest.Problem)(nil); errors.As(err, &p) && p.Status == http.StatusConflict {
		return ErrBusy
	}
	return err
}
