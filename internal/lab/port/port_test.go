package port_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/yuccahaven/yuccahaven/internal/lab/port"
)

// Guards against a port that accepts more connections than its limit, which would hide callers that open too many.
func TestLimit(t *testing.T) {
	p, err := port.Listen("127.0.0.1:0", 2, http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Refuse()
	var conns []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		conns = append(conns, c)
	}
	// The port closes the third connection, since connections are accepted in the order of their handshakes.
	if _, err := conns[2].Read(make([]byte, 1)); !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("third connection: %v", err)
	}
	if p.Peak() != 2 || p.Dropped() != 1 {
		t.Fatalf("peak %d, dropped %d; want 2 and 1", p.Peak(), p.Dropped())
	}
}

// Guards against an outage that closes connections but accepts new ones, and one that changes the address.
func TestRefuseAndReopen(t *testing.T) {
	n := port.NewNetwork()
	tcp, err := port.Listen("127.0.0.1:0", 0, http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Refuse()
	memory := n.Listen("memory:80", http.NotFoundHandler())
	for name, c := range map[string]struct {
		endpoint  port.Endpoint
		transport http.RoundTripper
	}{
		"tcp": {tcp, &http.Transport{}}, "memory": {memory, n},
	} {
		t.Run(name, func(t *testing.T) {
			get := func() error {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+c.endpoint.Address()+"/", nil)
				if err != nil {
					return err
				}
				res, err := c.transport.RoundTrip(r)
				if err == nil {
					_ = res.Body.Close()
				}
				return err
			}
			if err := get(); err != nil {
				t.Fatal(err)
			}
			c.endpoint.Refuse()
			if err := get(); !errors.Is(err, syscall.ECONNREFUSED) {
				t.Fatalf("while refused: %v", err)
			}
			if err := errors.Join(c.endpoint.Reopen(), get()); err != nil {
				t.Fatal(err)
			}
		})
	}
}
