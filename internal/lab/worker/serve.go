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

// maxWait bounds a long poll.
const maxWait = 30 * time.Second

// PathReboot is where the platform asks for a reboot; the body is a roster.RebootRequest.
const PathReboot = "/lab/reboot"

var problems = map[error]rest.Problem{
	worker.ErrBusy:               {Status: http.StatusConflict, Code: worker.CodeBusy},
	worker.ErrLeaving:            {Status: http.StatusConflict, Code: worker.CodeLeaving},
	worker.ErrReservationExpired: {Status: http.StatusConflict, Code: worker.CodeExpired},
	worker.ErrFenced:             {Status: http.StatusConflict, Code: worker.CodeFenced},
	worker.ErrUnknown:            {Status: http.StatusNotFound, Code: worker.CodeUnknown},
	ErrNotIdle:                   {Status: http.StatusConflict, Code: roster.CodeBusy},
}

// Handler serves the worker's protocol and the platform's reboot.
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
	m.HandleFunc("POST "+worker.PathTasks+"{id}/stop", handle(func(r *http.Request, _ empty) (any, error) {
		save, _ := strconv.ParseBool(r.URL.Query().Get("checkpoint"))
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.stopLocked(taskID(r), save), nil
	}))
	m.HandleFunc("POST "+worker.PathTasks+"{id}/acknowledge", handle(w.acknowledge))
	m.HandleFunc("GET "+worker.PathTasks+"{id}", handle(w.await))
	m.HandleFunc("GET "+worker.PathTasks+"{id}/result", w.result)
	m.HandleFunc("GET "+worker.PathReport, handle(func(*http.Request, empty) (any, error) { return w.Report(), nil }))
	m.HandleFunc("POST "+PathReboot, handle(func(_ *http.Request, q roster.RebootRequest) (any, error) {
		return nil, w.Reboot(q.Version, false)
	}))
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.pause()
		m.ServeHTTP(rw, r)
	})
}

func (w *Worker) acknowledge(r *http.Request, _ empty) (any, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[taskID(r)]
	if !ok {
		return nil, worker.ErrUnknown
	}
	if t.status.State.Ended() {
		// The id stays known, so that a repeated start does not run the task again.
		t.answer, t.forgot = nil, true
	}
	return nil, nil
}

func (w *Worker) await(r *http.Request, _ empty) (any, error) {
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	w.mu.Lock()
	t, ok := w.tasks[taskID(r)]
	w.mu.Unlock()
	if !ok {
		return nil, worker.ErrUnknown
	}
	timer := time.NewTimer(min(max(wait, 0), maxWait))
	defer timer.Stop()
	select {
	case <-t.ended:
	case <-timer.C:
	case <-r.Context().Done():
	}
	// A freeze that began during the poll holds back the reply too.
	w.pause()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[taskID(r)] != t {
		return nil, worker.ErrUnknown
	}
	return w.statusLocked(t), nil
}

func (w *Worker) result(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	t, ok := w.tasks[taskID(r)]
	var answer []byte
	if ok {
		ok, answer = t.status.State == worker.Done && !t.forgot, t.answer
	}
	w.mu.Unlock()
	if !ok {
		rest.WriteProblem(rw, problems[worker.ErrUnknown])
		return
	}
	rw.Header().Set(rest.DigestHeader, rest.Digest(answer))
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = rw.Write(answer)
}

type empty struct{}

func taskID(r *http.Request) fleet.TaskID { return fleet.TaskID(r.PathValue("id")) }

func handle[Q any](f func(*http.Request, Q) (any, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var q Q
		if _, none := any(q).(empty); !none {
			if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
				rest.WriteProblem(rw, rest.Problem{Status: http.StatusBadRequest, Code: "request", Detail: err.Error()})
				return
			}
		}
		out, err := f(r, q)
		switch {
		case err != nil:
			rest.WriteProblem(rw, problemOf(err))
		case out == nil:
			rw.WriteHeader(http.StatusNoContent)
		default:
			rest.WriteJSON(rw, out)
		}
	}
}

func problemOf(err error) rest.Problem {
	for known, p := range problems {
		if errors.Is(err, known) {
			p.Detail = err.Error()
			return p
		}
	}
	return rest.Problem{Status: http.StatusBadRequest, Code: "request", Detail: err.Error()}
}
