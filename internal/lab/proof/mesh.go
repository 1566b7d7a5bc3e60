package proof

import (
	"fmt"
	"io"
	"net"
	"regexp"
	"sync"
)

// Mesh is the set of proxies between entry instances. A toxiproxy can't identify who connects, so it can cut an
// instance off only from its own callers; the mesh reads the caller from the first request of a connection and cuts
// both directions.
type Mesh struct {
	mu    sync.Mutex
	ports map[string]*meshPort
	cut   map[string]bool
	conns map[*meshConn]bool
}

type meshPort struct {
	listener net.Listener
	upstream string
}

type meshConn struct {
	from, to         string
	client, upstream net.Conn
}

// NewMesh returns a mesh without instances.
func NewMesh() *Mesh {
	return &Mesh{ports: map[string]*meshPort{}, cut: map[string]bool{}, conns: map[*meshConn]bool{}}
}

// Listen opens the port at which the other instances reach one; the port stays the same across its restarts.
func (m *Mesh) Listen(name string) (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.ports[name]; ok {
		return p.listener.Addr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("proof: mesh: %w", err)
	}
	m.ports[name] = &meshPort{listener: l}
	go m.accept(name, l)
	return l.Addr().String(), nil
}

// Attach sets the address of the peer port that the instance's process listens on.
func (m *Mesh) Attach(name, upstream string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ports[name].upstream = upstream
}

// Cut breaks the connections between an instance and all others, in both directions, and refuses new ones until Heal.
func (m *Mesh) Cut(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[name] = true
	for c := range m.conns {
		if c.from == name || c.to == name {
			c.close()
		}
	}
}

// Heal lets an instance reach the others again.
func (m *Mesh) Heal(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.cut, name)
}

// Close ends every proxy.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.ports {
		_ = p.listener.Close()
	}
	for c := range m.conns {
		c.close()
	}
}

func (m *Mesh) accept(name string, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go m.relay(name, c)
	}
}

func (m *Mesh) relay(to string, client net.Conn) {
	name, preface := identify(client)
	c := &meshConn{from: name, to: to, client: client}
	if !m.connect(c) {
		_ = client.Close()
		return
	}
	var g sync.WaitGroup
	g.Go(func() {
		_, _ = c.upstream.Write(preface)
		_, _ = io.Copy(c.upstream, client)
		c.close()
	})
	g.Go(func() { _, _ = io.Copy(client, c.upstream); c.close() })
	g.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// connect opens the connection to the called instance. A caller that is not identified is refused, since it could
// bypass a cut.
func (m *Mesh) connect(c *meshConn) bool {
	m.mu.Lock()
	upstream := m.ports[c.to].upstream
	m.mu.Unlock()
	if c.from == "" || upstream == "" {
		return false
	}
	var err error
	if c.upstream, err = net.Dial("tcp", upstream); err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut[c.from] || m.cut[c.to] {
		_ = c.upstream.Close()
		return false
	}
	m.conns[c] = true
	return true
}

func (c *meshConn) close() {
	_ = c.client.Close()
	_ = c.upstream.Close()
}

// senderPattern finds the sender's identifier "<name>.<incarnation>" in a CBOR message: the key "from", then a text of
// 24 to 255 bytes.
var senderPattern = regexp.MustCompile(`(?s)dfrom\x78.([a-z0-9-]+)\.`)

// maxPreface bounds the bytes that are read from a connection to identify the caller; the first message begins within
// them.
const maxPreface = 64 << 10

// identify returns the name of the instance that opened a connection, and the bytes that were read to find it. One
// request is enough, since every request names its sender and a connection belongs to one process.
func identify(client net.Conn) (name string, read []byte) {
	chunk := make([]byte, 4<<10)
	for len(read) < maxPreface {
		n, err := client.Read(chunk)
		read = append(read, chunk[:n]...)
		if m := senderPattern.FindSubmatch(read); m != nil {
			return string(m[1]), read
		}
		if err != nil {
			break
		}
	}
	return "", read
}
