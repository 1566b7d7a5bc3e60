package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/object"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/plat/table"
)

// maxThrottleDelay bounds the delay of an operation over the limit; one that needs a longer delay is declined at once.
const maxThrottleDelay = time.Second

// codeRequest is the problem code of a malformed request.
const codeRequest rest.Code = "request"

func (s *Store) routeTable(m *http.ServeMux) {
	m.HandleFunc("POST "+table.PathGet, withBody(func(w http.ResponseWriter, r *http.Request, q table.GetRequest) {
		if s.admitRead(w, r, Table) {
			rest.WriteJSON(w, table.ItemsReply{Items: s.table.get(q.Keys)})
		}
	}))
	m.HandleFunc("POST "+table.PathScan, withBody(func(w http.ResponseWriter, r *http.Request, q table.ScanRequest) {
		if s.admitRead(w, r, Table) {
			rest.WriteJSON(w, table.ItemsReply{Items: s.table.scan(q)})
		}
	}))
	m.HandleFunc("POST "+table.PathCommit, withBody(s.commit))
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request, t table.Transaction) {
	if len(t.Writes) > maxTransactionWrites {
		rest.WriteProblem(w, rest.Problem{Status: http.StatusBadRequest, Code: codeRequest, Detail: "too many writes"})
		return
	}
	if !s.admitWrite(w, r, Table) {
		return
	}
	n, ok := s.table.apply(t)
	if !ok {
		s.counts[Table].update(func(c *Counters) { c.Conflicts++ })
		rest.WriteProblem(w, rest.Problem{Status: http.StatusConflict, Code: table.CodeConflict})
		return
	}
	s.maybeLoseReply(Table)
	rest.WriteJSON(w, table.CommitReply{Commit: n})
}

func (s *Store) routeObject(m *http.ServeMux) {
	m.HandleFunc("PUT "+object.PathObjects+"{name}", s.putObject)
	m.HandleFunc("GET "+object.PathObjects+"{name}", s.getObject)
	m.HandleFunc("DELETE "+object.PathObjects+"{name}", s.deleteObject)
}

func (s *Store) putObject(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil || rest.Digest(b) != r.Header.Get(rest.DigestHeader) {
		rest.WriteProblem(w, rest.Problem{Status: http.StatusBadRequest, Code: codeRequest, Detail: "body does not have its digest"})
		return
	}
	if !s.admitWrite(w, r, Object) {
		return
	}
	s.mu.Lock()
	s.objects[r.PathValue("name")] = b
	s.mu.Unlock()
	s.maybeLoseReply(Object)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) getObject(w http.ResponseWriter, r *http.Request) {
	if !s.admitRead(w, r, Object) {
		return
	}
	s.mu.Lock()
	b, ok := s.objects[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		rest.WriteProblem(w, rest.Problem{Status: http.StatusNotFound, Code: object.CodeAbsent})
		return
	}
	w.Header().Set(rest.DigestHeader, rest.Digest(b))
	_, _ = w.Write(b)
}

func (s *Store) deleteObject(w http.ResponseWriter, r *http.Request) {
	if !s.admitWrite(w, r, Object) {
		return
	}
	s.mu.Lock()
	delete(s.objects, r.PathValue("name"))
	s.mu.Unlock()
	s.maybeLoseReply(Object)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) routeRoster(m *http.ServeMux) {
	m.HandleFunc("GET "+roster.PathInstances, func(w http.ResponseWriter, _ *http.Request) {
		s.counts[Roster].read()
		rest.WriteJSON(w, roster.ListReply{Instances: s.roster.list()})
	})
	m.HandleFunc("POST "+roster.PathInstances+"/{id}/reboot",
		withBody(func(w http.ResponseWriter, r *http.Request, q roster.RebootRequest) {
			s.counts[Roster].write()
			err := s.roster.requestReboot(r.Context(), fleet.InstanceID(r.PathValue("id")), q.Version)
			switch {
			case errors.Is(err, ErrAbsent):
				rest.WriteProblem(w, rest.Problem{Status: http.StatusNotFound, Code: roster.CodeAbsent})
			case errors.Is(err, ErrBusy):
				rest.WriteProblem(w, rest.Problem{Status: http.StatusConflict, Code: roster.CodeBusy})
			case err != nil:
				rest.WriteProblem(w, rest.Problem{Status: http.StatusBadGateway, Detail: err.Error()})
			default:
				s.maybeLoseReply(Roster)
				w.WriteHeader(http.StatusAccepted)
			}
		}))
}

// maybeLoseReply breaks the connection instead of a reply if the injected faults require it.
func (s *Store) maybeLoseReply(v Service) {
	if s.injectors[v].losesReply() {
		s.counts[v].update(func(c *Counters) { c.Lost++ })
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) admitRead(w http.ResponseWriter, r *http.Request, v Service) bool {
	if !s.admit(w, r, v, s.reads) {
		return false
	}
	s.counts[v].read()
	return true
}

func (s *Store) admitWrite(w http.ResponseWriter, r *http.Request, v Service) bool {
	if !s.admit(w, r, v, s.writes) {
		return false
	}
	s.counts[v].write()
	return true
}

func (s *Store) admit(w http.ResponseWriter, r *http.Request, v Service, l *rate.Limiter) bool {
	if l == nil {
		return true
	}
	h := l.Reserve()
	if wait := h.Delay(); wait > 0 {
		if wait > maxThrottleDelay {
			h.Cancel()
			s.counts[v].update(func(c *Counters) { c.Throttled++ })
			rest.WriteProblem(w, rest.Problem{Status: http.StatusServiceUnavailable, Code: table.CodeUnavailable, Detail: "over the limit"})
			return false
		}
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

func withBody[Q any](f func(http.ResponseWriter, *http.Request, Q)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q Q
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			rest.WriteProblem(w, rest.Problem{Status: http.StatusBadRequest, Code: codeRequest, Detail: err.Error()})
			return
		}
		f(w, r, q)
	}
}
