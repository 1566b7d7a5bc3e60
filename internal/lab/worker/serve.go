package worker

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccahaven/yuccahaven/internal/model/fleet"
	"github.com/yuccahaven/yuccahaven/internal/plat/rest"
	"github.com/yuccahaven/yuccahaven/internal/plat/roster"
	"github.com/yuccahaven/yuccahaven/internal/plat/worker"
)

// maxPollWait bounds the wait of a long poll.
const maxPollWait = 30 * time.Second

// PathReboot is the path at which the platform requests a reboot; the body is a roster.RebootRequest.
const PathReboot = "/lab/reboot"

var errorProblems = map[error]rest.Problem{
	worker.ErrBusy:               {Status: http.StatusConflict, Code: worker.CodeBusy},
	worker.ErrLeaving:            {Status: http.StatusConflict, Code: worker.CodeLeaving},
	worker.ErrReservationExpired: {Status: http.StatusConflict, Code: worker.CodeExpired},
	worker.ErrFenced:             {Status: http.StatusConflict, Code: worker.CodeFenced},
	worker.ErrUnknown:            {Status: http.StatusNotFound, Code: worker.CodeUnknown},
	ErrNotIdle:                   {Status: http.StatusConflict, Code: roster.CodeBusy},
}

// Handler returns the handler of the worker's protocol and of the platform's reboot requests.
func (w *Worker) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+worker.PathReserve, handle(func(_ *http.Request, q worker.Reservation) (any, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		return nil, w.reserveLocked(q)
	}))
	m.HandleFunc("POST "+worker.PathStart, handle(func(_ *http.Request, q worker.Start) (any, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		return nil, w.startLocked(q)
	}))
	m.HandleFunc("POST "+worker.PathRenew, handle(func(_ *http.Request, q worker.RenewRequest) (any, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		return worker.RenewReply{Tasks: w.renewLocked(q)}, nil
	}))
	m.HandleFunc("POST "+worker.PathTasks+"{id}/stop", handle(func(r *http.Request, _ noBody) (any, error) {
		withCheckpoint, _ := strconv.ParseBool(r.URL.Query().Get("checkpoint"))
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.stopLocked(taskID(r), withCheckpoint), nil
	}))
	m.HandleFunc("POST "+worker.PathTasks+"{id}/acknowledge", handle(w.handleAcknowledge))
	m.HandleFunc("GET "+worker.PathTasks+"{id}", handle(w.handleAwait))
	m.HandleFunc("GET "+worker.PathTasks+"{id}/result", w.handleResult)
	m.HandleFunc("GET "+worker.PathReport, handle(func(*http.Request, noBody) (any, error) { return w.Report(), nil }))
	m.HandleFunc("POST "+PathReboot, handle(func(_ *http.Request, q roster.RebootRequest) (any, error) {
		return nil, w.Reboot(q.Version, false)
	}))
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.awaitThaw()
		m.ServeHTTP(rw, r)
	})
}

func (w *Worker) handleAcknowledge(r *http.Request, _ noBody) (any, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[taskID(r)]
	if !ok {
		return nil, worker.ErrUnknown
	}
	if t.status.State.Ended() {
		// The id of the task stays known, so that a repeated start does not run the task again.
		t.answer, t.acknowledged = nil, true
	}
	return nil, nil
}

func (w *Worker) handleAwait(r *http.Request, _ noBody) (any, error) {
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	w.mu.Lock()
	t, ok := w.tasks[taskID(r)]
	w.mu.Unlock()
	if !ok {
		return nil, worker.ErrUnknown
	}
	timer := time.NewTimer(min(max(wait, 0), maxPollWait))
	defer timer.Stop()
	select {
	case <-t.ended:
	case <-timer.C:
	case <-r.Context().Done():
	}
	// A freeze that began during the poll also delays the reply.
	w.awaitThaw()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[taskID(r)] != t {
		return nil, worker.ErrUnknown
	}
	return w.statusLocked(t), nil
}

func (w *Worker) handleResult(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	t, ok := w.tasks[taskID(r)]
	var answer []byte
	if ok {
		ok, answer = t.status.State == worker.Done && !t.acknowledged, t.answer
	}
	w.mu.Unlock()
	if !ok {
		rest.WriteProblem(rw, errorProblems[worker.ErrUnknown])
		return
	}
	rw.Header().Set(rest.DigestHeader, rest.Digest(answer))
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = rw.Write(answer)
}

type noBody struct{}

func taskID(r *http.Request) fleet.TaskID { return fleet.TaskID(r.PathValue("id")) }

func handle[Q any](f func(*http.Request, Q) (any, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var q Q
		if _, bodyless := any(q).(noBody); !bodyless {
			if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
				rest.WriteProblem(rw, rest.Problem{Status: http.StatusBadRequest, Code: "request", Detail: err.Error()})
				return
			}
		}
		reply, err := f(r, q)
		switch {
		case err != nil:
			rest.WriteProblem(rw, problemOf(err))
		case reply == nil:
			rw.WriteHeader(http.StatusNoContent)
		default:
			rest.WriteJSON(rw, reply)
		}
	}
}

func problemOf(err error) rest.Problem {
	for known, p := range errorProblems {
		if errors.Is(err, known) {
			p.Detail = err.Error()
			return p
		}
	}
	return rest.Problem{Status: http.StatusBadRequest, Code: "request", Detail: err.Error()}
}
