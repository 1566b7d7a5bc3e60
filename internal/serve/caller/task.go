package caller

import (
	"encoding/json"
	"net/http"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/serve/runner"
)

// pendingBody is the body of the reply to a poll of a task that has not ended.
type pendingBody struct {
	ID    string       `json:"id"`
	State runner.Phase `json:"state"`
}

// poll answers GET /v1/tasks/{id}: the result, the rejection, or 202 while the task waits or runs.
func (a *API) poll(w http.ResponseWriter, q *http.Request) {
	team, err := a.identify(q)
	if err != nil {
		a.reject(w, err)
		return
	}
	p, err := a.tasks.Get(q.Context(), team, q.PathValue("id"), preferredWait(q))
	a.setWriteDeadline(w)
	switch {
	case err != nil:
		a.reject(w, err)
	case p.Phase == runner.PhaseDone:
		writeAnswer(w, p.Answer)
	case p.Phase == runner.PhaseRejected:
		a.reject(w, p.Rejection)
	default:
		writePending(w, p)
	}
}

func writePending(w http.ResponseWriter, p runner.Progress) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Retry-After", "1")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusAccepted)
	_ = json.NewEncoder(w).Encode(pendingBody{ID: p.ID, State: p.Phase})
}

// cancel answers DELETE /v1/tasks/{id}.
func (a *API) cancel(w http.ResponseWriter, q *http.Request) {
	team, err := a.identify(q)
	if err == nil {
		err = a.tasks.Cancel(team, q.PathValue("id"))
	}
	if err != nil {
		a.reject(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// identify returns the team of the request's key. Tasks are looked up by team, so that no team can access another's
// tasks. Its rejections report the state of the task's work as unknown.
func (a *API) identify(q *http.Request) (fleet.TeamName, error) {
	err := a.views.Fresh()
	if err == nil {
		var team fleet.TeamName
		if team, err = a.keys.authenticate(q, a.views.View()); err == nil {
			return team, nil
		}
	}
	e := *asRejection(err)
	e.Work = reject.WorkUnknown
	return "", &e
}

func (a *API) reject(w http.ResponseWriter, err error) {
	e := asRejection(err)
	a.logCause(e)
	WriteProblem(w, e)
}
