package proof

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"

	toxiproxy "github.com/Shopify/toxiproxy"
	"github.com/sirupsen/logrus"
)

// silentToxic is the toxic that drops every byte and leaves connections open.
const silentToxic = `{"name":"silent","type":"timeout","attributes":{"timeout":0}}`

func init() {
	// toxiproxy logs every connection to the process-wide logger of logrus.
	logrus.SetOutput(io.Discard)
}

// Link is a proxy in front of one server.
type Link struct{ proxy *toxiproxy.Proxy }

// The ports of links are below those that the system gives to outgoing connections and to listeners without a port of
// their own: a link does not listen while it is cut, and must find its port free when it heals.
const (
	firstLinkPort = 12000
	linkPorts     = 8000
)

// linkPortsTaken are the ports of all links of this process.
var linkPortsTaken sync.Map

// NewLink starts a proxy on a free port.
func NewLink(name, upstream string) (*Link, error) {
	for range linkPorts {
		port := firstLinkPort + rand.IntN(linkPorts)
		if _, taken := linkPortsTaken.LoadOrStore(port, true); taken {
			continue
		}
		p := toxiproxy.NewProxy()
		p.Name, p.Listen, p.Upstream = name, fmt.Sprintf("127.0.0.1:%d", port), upstream
		err := p.Start()
		if err == nil {
			return &Link{proxy: p}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, fmt.Errorf("proof: link %s: %w", name, err)
		}
	}
	return nil, fmt.Errorf("proof: link %s: no free port", name)
}

// Address returns host and port of the proxy; they stay the same across Cut and Heal.
func (l *Link) Address() string {
	l.proxy.Lock()
	defer l.proxy.Unlock()
	return l.proxy.Listen
}

// Move points the proxy at another server and breaks the open connections.
func (l *Link) Move(upstream string) error { return l.update(upstream, true) }

// Cut breaks every connection and refuses new ones until Heal.
func (l *Link) Cut() error { return l.update("", false) }

// Silence drops every byte in both directions until Heal, on new connections too.
func (l *Link) Silence() error {
	for _, stream := range []string{"upstream", "downstream"} {
		if err := l.add(strings.Replace(silentToxic, `"silent"`, `"silent-`+stream+`"`, 1), stream); err != nil {
			return err
		}
	}
	return nil
}

// Delay adds a latency to every reply until Heal.
func (l *Link) Delay(millis int) error {
	return l.add(fmt.Sprintf(`{"name":"delay","type":"latency","attributes":{"latency":%d}}`, millis), "downstream")
}

// Heal removes every fault.
func (l *Link) Heal() error {
	l.proxy.Toxics.ResetToxics()
	return l.update("", true)
}

// Close ends the proxy.
func (l *Link) Close() { l.proxy.Stop() }

// add adds a toxic to one direction, "upstream" or "downstream".
func (l *Link) add(toxic, stream string) error {
	toxic = strings.TrimSuffix(toxic, "}") + fmt.Sprintf(`,"stream":%q}`, stream)
	if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(toxic)); err != nil {
		return fmt.Errorf("proof: toxic %s: %w", toxic, err)
	}
	return nil
}

// update sets the server, unless it is empty, and whether the proxy accepts connections.
func (l *Link) update(upstream string, enabled bool) error {
	l.proxy.Lock()
	next := &toxiproxy.Proxy{Listen: l.proxy.Listen, Upstream: l.proxy.Upstream, Enabled: enabled}
	l.proxy.Unlock()
	if upstream != "" {
		next.Upstream = upstream
	}
	if err := l.proxy.Update(next); err != nil && !errors.Is(err, toxiproxy.ErrProxyAlreadyStarted) {
		return fmt.Errorf("proof: link %s: %w", l.proxy.Name, err)
	}
	return nil
}
