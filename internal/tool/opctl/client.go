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
	caFile     string
	timeout    time.Duration
	json       bool
}

// flags declares the flags of a client on a command; all but --json have an environment variable.
func (t *tool) flags(c *kingpin.CmdClause) *client {
	x := &client{tool: t}
	c.Flag("server", "URL of an entry instance or of the load balancer.").Envar("YUCCAHAVEN_SERVER").
		Default("http://127.0.0.1:8080").StringVar(&x.server)
	c.Flag("credential", "Admin token or key; better given as the environment variable than as an argument.").
		Envar("YUCCAHAVEN_CREDENTIAL").StringVar(&x.credential)
	c.Flag("ca", "File of the authority that signed the server's certificate.").Envar("YUCCAHAVEN_CA").StringVar(&x.caFile)
	c.Flag("timeout", "Longest wait for one answer.").Envar("YUCCAHAVEN_TIMEOUT").Default("15s").DurationVar(&x.timeout)
	c.Flag("json", "Print the server's JSON.").BoolVar(&x.json)
	return x
}

// response is a successful response.
type response struct {
	body []byte
	etag string
}

// request is one call to the operators' HTTP interface.
type request struct {
	method, path string
	header       map[string]string
	body         []byte
}

func (r request) isEdit() bool { return r.method != http.MethodGet }

// do sends a request. Its error is an exitError whose code distinguishes an edit of unknown outcome from one that was
// not applied.
func (c *client) do(r request) (response, error) {
	base, err := url.Parse(c.server)
	if err != nil || base.Host == "" || base.Scheme != "http" && base.Scheme != "https" {
		return response{}, fail(ExitUsage, "--server: %q is not an HTTP URL", c.server)
	}
	transport, err := c.transport()
	if err != nil {
		return response{}, err
	}
	defer transport.CloseIdleConnections()
	sent := false
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	q, err := http.NewRequestWithContext(ctx, r.method, strings.TrimSuffix(c.server, "/")+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, fail(ExitUsage, "%v", err)
	}
	q.Header.Set("Authorization", "Bearer "+c.credential)
	for k, v := range r.header {
		q.Header.Set(k, v)
	}
	res, err := (&http.Client{Transport: transport}).Do(q)
	if err != nil {
		return response{}, noResponseError(r, sent, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return response{}, noResponseError(r, sent, err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return response{}, c.refusalError(r, res, body)
	}
	return response{body: body, etag: strings.Trim(res.Header.Get("ETag"), `"`)}, nil
}

func (c *client) transport() (*http.Transport, error) {
	t := http.DefaultTransport.(*http.Transport).Clone()
	if c.caFile == "" {
		return t, nil
	}
	pem, err := os.ReadFile(c.caFile)
	roots := x509.NewCertPool()
	if err != nil || !roots.AppendCertsFromPEM(pem) {
		return nil, fail(ExitUsage, "--ca: no certificate in %q", c.caFile)
	}
	t.TLSClientConfig = &tls.Config{RootCAs: roots}
	return t, nil
}

// noResponseError returns the error of a request without a complete response.
func noResponseError(r request, sent bool, err error) error {
	if sent && r.isEdit() {
		return fail(ExitUnknown, "no answer, the edit may or may not be applied: %w", err)
	}
	return fail(ExitUnreachable, "no answer: %w", err)
}

// refusalError returns the error of a response that is not a success. It prints the findings of a problem document, or
// with --json the document.
func (c *client) refusalError(r request, res *http.Response, body []byte) error {
	var p admin.Problem
	if !strings.HasPrefix(res.Header.Get("Content-Type"), "application/problem+json") || json.Unmarshal(body, &p) != nil {
		if res.StatusCode >= http.StatusInternalServerError {
			return noResponseError(r, true, fail(ExitUnreachable, "status %s without a problem document", res.Status))
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
	text := p.Detail + hint(p, res.Header.Get("Retry-After"))
	return exitError{code: exitCode(p), cause: errors.New(text), notFound: res.StatusCode == http.StatusNotFound}
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

// hint returns what the operator can do next.
func hint(p admin.Problem, retry string) string {
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

// withoutJSON returns a copy of the client without JSON output, for requests whose responses are not printed.
func (c client) withoutJSON() *client {
	c.json = false
	return &c
}

// printResponse prints a response as the server's JSON, or as text through a function.
func printResponse[T any](c *client, r response, printText func(T)) error {
	if c.json {
		_, err := c.tool.out.Write(r.body)
		return err
	}
	var v T
	if err := json.Unmarshal(r.body, &v); err != nil {
		return fail(ExitUnknown, "the answer is not understood: %w", err)
	}
	printText(v)
	return nil
}
