package admin

import (
	"encoding/json"
	"net/http"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/plan/budget"
)

// InstanceReply is the reply to a request that drains, undrains or moves an instance.
type InstanceReply struct {
	Revision uint64              `json:"revision"`
	Instance fleet.InstanceID    `json:"instance"`
	Pool     fleet.PoolName      `json:"pool"`
	State    fleet.InstanceState `json:"state"`
	Target   fleet.PoolName      `json:"target,omitempty"`
}

// MoveRequest is the body of a request to move an instance.
type MoveRequest struct {
	Pool fleet.PoolName `json:"pool"`
}

func (s *Server) drain(w http.ResponseWriter, q *http.Request, a actor) error {
	failed := s.Failed()
	return s.editInstance(w, q, a, fleet.InstanceDraining, "", func(v fleet.View, id fleet.InstanceID) ([]fleet.Item, error) {
		return budget.Drain(v, id, failed...)
	})
}

func (s *Server) undrain(w http.ResponseWriter, q *http.Request, a actor) error {
	return s.editInstance(w, q, a, fleet.InstanceActive, "", budget.Undrain)
}

func (s *Server) move(w http.ResponseWriter, q *http.Request, a actor) error {
	var m MoveRequest
	if err := json.NewDecoder(q.Body).Decode(&m); err != nil || m.Pool == "" {
		return reject.New(reject.KindRequest, reject.WorkNotRun, `the body must be {"pool": NAME}`).WithCause(err)
	}
	failed := s.Failed()
	return s.editInstance(w, q, a, fleet.InstanceDraining, m.Pool, func(v fleet.View, id fleet.InstanceID) ([]fleet.Item, error) {
		return budget.Move(v, id, m.Pool, failed...)
	})
}

func (s *Server) editInstance(w http.ResponseWriter, q *http.Request, a actor, state fleet.InstanceState, target fleet.PoolName,
	change func(fleet.View, fleet.InstanceID) ([]fleet.Item, error)) error {
	if err := a.requireAdmin(); err != nil {
		return err
	}
	reply := InstanceReply{Instance: fleet.InstanceID(q.PathValue("id")), State: state, Target: target}
	revision, err := s.edit(q, a, func(v fleet.View) ([]fleet.Item, error) {
		var ok bool
		if reply.Pool, ok = v.PoolOf(reply.Instance); !ok {
			return nil, notFoundError{reject.New(reject.KindRequest, reject.WorkNotRun, "unknown instance %q", reply.Instance)}
		}
		return change(v, reply.Instance)
	})
	if err != nil {
		return err
	}
	reply.Revision = revision
	return writeJSON(w, http.StatusOK, reply)
}
