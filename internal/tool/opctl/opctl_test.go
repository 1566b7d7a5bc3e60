package opctl_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/yuccahaven/yuccahaven/internal/tool/opctl"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"yuccahaven": func() {
		app := kingpin.New("yuccahaven", "")
		opctl.Register(app, opctl.WithVersion("test"))
		os.Exit(opctl.Run(app, os.Args[1:]))
	}})
}

// Guards against commands that send the wrong request, hide an outcome or exit with the wrong code.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: startServer,
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"exits": checkExitCode},
	})
}

// checkExitCode runs a command and requires an exit code: "exits 3 yuccahaven zone out east".
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var e *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &e) {
		got = e.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// fakeServer answers requests from the script's file "answers". Each block begins with "METHOD PATH STATUS [ETAG]",
// followed by the body, and ends with "---". Several blocks for one request are used in turn, the last one repeatedly.
// Status 0 closes the connection without a response. Requests are recorded in the file "requests".
type fakeServer struct {
	mu         sync.Mutex
	responses  map[string][]cannedResponse
	requestLog string
}

type cannedResponse struct {
	status int
	etag   string
	body   string
}

func startServer(e *testscript.Env) error {
	f := &fakeServer{responses: map[string][]cannedResponse{}, requestLog: filepath.Join(e.WorkDir, "requests")}
	text, err := os.ReadFile(filepath.Join(e.WorkDir, "answers"))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	for _, b := range strings.Split(string(text), "---\n") {
		head, body, _ := strings.Cut(b, "\n")
		w := strings.Fields(head)
		if len(w) < 3 {
			continue
		}
		status, err := strconv.Atoi(w[2])
		if err != nil {
			return err
		}
		a := cannedResponse{status: status, body: body}
		if len(w) > 3 {
			a.etag = `"` + w[3] + `"`
		}
		f.responses[w[0]+" "+w[1]] = append(f.responses[w[0]+" "+w[1]], a)
	}
	s := httptest.NewServer(f)
	e.Defer(s.Close)
	e.Setenv("YUCCAHAVEN_SERVER", s.URL)
	e.Setenv("ADDRESS", s.Listener.Addr().String())
	e.Setenv("YUCCAHAVEN_CREDENTIAL", "secret")
	return nil
}

// ServeHTTP implements http.Handler.
func (f *fakeServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	body, _ := io.ReadAll(q.Body)
	f.record(q, string(body))
	name := q.Method + " " + q.URL.RequestURI()
	queue := f.responses[name]
	if len(queue) == 0 {
		http.Error(w, "the script has no answer", http.StatusTeapot)
		return
	}
	if len(queue) > 1 {
		f.responses[name] = queue[1:]
	}
	a := queue[0]
	if a.status == 0 {
		panic(http.ErrAbortHandler)
	}
	if a.etag != "" {
		w.Header().Set("ETag", a.etag)
	}
	if a.status >= http.StatusMultipleChoices && strings.HasPrefix(a.body, "{") {
		w.Header().Set("Content-Type", "application/problem+json")
	}
	if a.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "2")
	}
	w.WriteHeader(a.status)
	_, _ = io.WriteString(w, a.body)
}

func (f *fakeServer) record(q *http.Request, body string) {
	log, err := os.OpenFile(f.requestLog, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer func() { _ = log.Close() }()
	_, _ = fmt.Fprintf(log, "%s %s %s match=%s none=%s\n", q.Method, q.URL.RequestURI(), q.Header.Get("Authorization"),
		q.Header.Get("If-Match"), q.Header.Get("If-None-Match"))
	if body != "" {
		_, _ = fmt.Fprintln(log, strings.TrimSpace(body))
	}
}
