package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against callers that occupy a connection by sending headers slowly: the server must close it.
func TestSlowHeader(t *testing.T) {
	d := deploy(t, 1, nil)
	c, err := net.Dial("tcp", d.nodes[0].Address())
	d.must(err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprint(c, "POST /v1/queues/open/tasks HTTP/1.1\r\nHost: x\r\nA: ")
	d.must(err)
	if _, err := io.ReadAll(c); err != nil {
		t.Fatalf("reading from the connection failed with %v, want a close by the server", err)
	}
}

// Guards against request headers that use unbounded memory.
func TestLargeHeader(t *testing.T) {
	d := deploy(t, 1, nil)
	q, err := http.NewRequest(http.MethodGet, "http://"+d.nodes[0].Address()+"/healthz", nil)
	d.must(err)
	q.Header.Set("A", strings.Repeat("x", 2*maxHeaderBytes))
	p, err := http.DefaultClient.Do(q)
	d.must(err)
	_ = p.Body.Close()
	if p.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("status %d", p.StatusCode)
	}
}
