package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against callers that hold a connection by sending their headers slowly: the server must end it.
func TestSlowHeader(t *testing.T) {
	d := deploy(t, 1, nil)
	c, err := net.Dial("tcp", d.nodes[0].Address())
	d.must(err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprint(c, "POST /v1/queues/open/tasks HTTP/1.1\r\nHost: x\r\nA: ")
	d.must(err)
	if _, err := io.ReadAll(c); err != nil {
		t.Fatalf("the connection ended with %v instead of a close by the server", err)
	}
}

// Guards against headers that take memory without limit.
func TestLargeHeader(t *testing.T) {
	d := deploy(t, 1, nil)
	q, err := http.NewRequest(http.MethodGet, "http://"+d.nodes[0].Address()+"/healthz", nil)
	d.must(err)
	q.Header.Set("A", strings.Repeat("x", 2*maxHeader))
	p, err := http.DefaultClient.Do(q)
	d.must(err)
	_ = p.Body.Close()
	if p.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("status %d", p.StatusCode)
	}
}
