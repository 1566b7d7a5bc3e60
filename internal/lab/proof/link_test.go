package proof

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"testing"
)

// Guards against a link that can't listen again when it heals, because its port was free while it was cut and the system
// gave it to an outgoing connection.
func TestLinkPortIsNotGivenOut(t *testing.T) {
	first, last := 32768, 60999 // the system's default
	if b, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		if _, err := fmt.Sscan(string(b), &first, &last); err != nil {
			t.Fatal(err)
		}
	}
	l, err := NewLink("link", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	_, port, err := net.SplitHostPort(l.Address())
	if err != nil {
		t.Fatal(err)
	}
	if n, err := strconv.Atoi(port); err != nil || n >= first && n <= last {
		t.Errorf("port %s is among %d to %d", port, first, last)
	}
	if err := l.Cut(); err != nil {
		t.Error(err)
	}
	if err := l.Heal(); err != nil {
		t.Error(err)
	}
}
