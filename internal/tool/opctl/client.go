package opctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/yuccahaven/yuccahaven/internal/model/reject"
	"github.com/yuccahaven/yuccahaven/internal/serve/admin"
)

// client sends requests to an entry instance.
type client struct {
	tool       *tool
	server     string
	credential string
	authority  string
	timeout    time.Duration
	json       bool
}

// flags declares the settings of a client on a command; each has an environment variable.
func (t *tool) flags(c *kingpin.CmdClause) *client {
	x := &client{tool: t}
	c.Flag("server", "URL of an entry instance or of the load balancer.").Envar("YUCCAHAVEN_SERVER").
		Default("http://127.0.0.1:8080").StringVar(&x.server)
	c.Flag("credential", "Admin token or key; better given as the environment variable than as an argument.").
		Envar("YUCCAHAVEN_CREDENTIAL").StringVar(&x.credential)
	c.Flag("ca", "File of the authority that signed the server's certificate.").Envar("YUCCAHAVEN_CA").StringVar(&x.authority)
	c.Flag("timeout", "Longest wait for one answer.").Envar("YUCCAHAVEN_TIMEOUT").Default("15s").DurationVar(&x.timeout)
	c.Flag("json", "Print the server's JSON.").BoolVar(&x.json)
	return x
}

// answer is a successful response.
type answer struct {
	body []byte
	etag string
}

// request is one call of the operators' interface.
type request struct {
	method, path string
	header       map[string]string
	body         []byte
}

func (r request) edits() bool { return r.method != http.MethodGet }

// do sends a request. Its error is an exitError that tells an edit without an outcome from one that was not applied.
func (c *client) do(r request) (answer, error) {
	base, err := url.Parse(c.server)
	if err != nil || base.Host == "" || base.Scheme != "http" && base.Scheme != "https" {
		return answer{}, fail(ExitUsage, "--server: %q is not an HTTP URL", c.server)
	}
	transport, err := c.transport()
	if err != nil {
		return answer{}, err
	}
	defer transport.CloseIdleConnections()
	sent := false
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	q, err := http.NewRequestWithContext(ctx, r.method, strings.TrimSuffix(c.server, "/")+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{}, fail(ExitUsage, "%v", err)
	}
	q.Header.Set("Authorization", "Bearer "+c.credential)
	for k, v := range r.header {
		q.Header.Set(k, v)
	}
	res, err := (&http.Client{Transport: transport}).Do(q)
	if err != nil {
		return answer{}, lost(r, sent, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{}, lost(r, sent, err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return answer{}, c.refused(r, res, body)
	}
	return answer{body: body, etag: strings.Trim(res.Header.Get("ETag"), `"`)}, nil
}

func (c *client) transport() (*http.Transport, error) {
	t := http.DefaultTransport.(*http.Transport).Clone()
	if c.authority == "" {
		return t, nil
	}
	pem, err := os.ReadFile(c.authority)
	roots := x509.NewCertPool()
	if err != nil || !roots.AppendCertsFromPEM(pem) {
		return nil, fail(ExitUsage, "--ca: no certificate in %q", c.authority)
	}
	t.TLSClientConfig = &tls.Config{RootCAs: roots}
	return t, nil
}

// lost is the error of a request without a whole response.
func lost(r request, sent bool, err error) error {
	if sent && r.edits() {
		return fail(ExitUnknown, "no answer, the edit may or may not be applied: %w", err)
	}
	return fail(ExitUnreachable, "no answer: %w", err)
}

// refused is the error of a response that is not a success.
func (c *client) refused(r request, res *http.Response, body []byte) error {
	var p admin.Problem
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "application/problem+json") || json.Unmarshal(body, &p) != nil {
		if res.StatusCode >= http.StatusInternalServerError {
			return lost(r, true, fail(ExitUnreachable, "status %s without a problem document", res.Status))
		}
		return fail(ExitRefused, "status %s", res.Status)
	}
	if c.json {
		_, _ = c.tool.out.Write(body)
	} else {
		for _, f := range p.Findings {
			c.tool.print("%s\n", f)
		}
	}
	text := p.Detail + advice(p, res.Header.Get("Retry-After"))
	return exitError{code: exitCode(p), cause: errors.New(text), absent: res.StatusCode == http.StatusNotFound}
}

func exitCode(p admin.Problem) int {
	switch {
	case p.Kind == reject.KindConflict:
		return ExitConflict
	case p.Kind == reject.KindUnconfirmed || p.Work == reject.WorkUnknown:
		return ExitUnknown
	}
	return ExitRefused
}

// advice says what the operator may do next.
func advice(p admin.Problem, retry string) string {
	switch {
	case p.Kind == reject.KindUnconfirmed:
		return "; stored, see the revisions in yuccahaven status or repeat the command"
	case p.Work == reject.WorkUnknown:
		return "; look whether it was applied before repeating it"
	case p.Kind == reject.KindConflict:
		return "; read the present state and decide again"
	case retry != "":
		return "; not applied, try again in " + retry + " s"
	}
	return ""
}

// plain returns the client without the JSON output, for requests whose answers are not printed.
func (c client) plain() *client {
	c.json = false
	return &c
}

// show prints an answer as the server's JSON or through a function for people.
func show[T any](c *client, a answer, people func(T)) error {
	if c.json {
		_, err := c.tool.out.Write(a.body)
		return err
	}
	var v T
	if err := json.Unmarshal(a.body, &v); err != nil {
		return fail(ExitUnknown, "the answer is not understood: %w", err)
	}
	people(v)
	return nil
}
